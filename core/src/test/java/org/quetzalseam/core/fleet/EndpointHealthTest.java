package org.quetzalseam.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {
    private static final long SECOND = 1_000_000_000L;

    private final EndpointHealth health = new EndpointHealth();

    @Test
    void threeFailuresInARowMakeItSuspect() {
        health.failed(1);
        health.failed(2);
        assertThat(health.suspect(3)).isFalse();
        health.failed(3);
        assertThat(health.suspect(4)).isTrue();
    }

    @Test
    void anEndpointThatFailsTwoInFiveIsFoundOutThoughItAlsoAnswers() {
        boolean found = false;
        for (int i = 0; i < 50; i++) {
            if (i % 5 < 2) {
                health.failed(i);
            } else {
                health.succeeded(i, 10);
            }
            found |= health.suspect(i);
        }
        assertThat(found).isTrue();
    }

    @Test
    void itIsTriedAgainAfterSomeSecondsWithoutAProbe() {
        for (int i = 1; i <= 5; i++) {
            health.failed(i);
        }
        assertThat(health.suspect(6)).isTrue();
        assertThat(health.suspect(6 * SECOND)).isFalse();
    }

    @Test
    void threeTimeOutsInARowMakeItSuspectThoughSecondsLieBetween() {
        health.failed(3 * SECOND);
        health.failed(6 * SECOND);
        health.failed(9 * SECOND);
        assertThat(health.suspect(10 * SECOND)).isTrue();
        assertThat(health.suspect(12 * SECOND)).isFalse();
    }

    @Test
    void anAnswerBetweenTimeOutsClearsIt() {
        health.failed(3 * SECOND);
        health.failed(6 * SECOND);
        health.succeeded(7 * SECOND, 10);
        health.failed(9 * SECOND);
        assertThat(health.suspect(10 * SECOND)).isFalse();
    }
}
