package org.quetzalseam.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EndpointHealthTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final EndpointHealth health = new EndpointHealth();

    @Test
    void threeConsecutiveFailuresMakeAnEndpointSuspect() {
        health.recordFailure(1);
        health.recordFailure(2);
        assertThat(health.isSuspect(3)).isFalse();
        health.recordFailure(3);
        assertThat(health.isSuspect(4)).isTrue();
    }

    @Test
    void anEndpointThatFailsTwoRequestsInFiveBecomesSuspect() {
        boolean found = false;
        for (int i = 0; i < 50; i++) {
            if (i % 5 < 2) {
                health.recordFailure(i);
            } else {
                health.recordSuccess(i, 10);
            }
            found |= health.isSuspect(i);
        }
        assertThat(found).isTrue();
    }

    @Test
    void aSuspectEndpointIsUsedAgainAfterSomeSecondsWithoutAProbe() {
        for (int i = 1; i <= 5; i++) {
            health.recordFailure(i);
        }
        assertThat(health.isSuspect(6)).isTrue();
        assertThat(health.isSuspect(6 * SECOND_NANOS)).isFalse();
    }

    @Test
    void threeConsecutiveTimeoutsSecondsApartMakeAnEndpointSuspect() {
        health.recordFailure(3 * SECOND_NANOS);
        health.recordFailure(6 * SECOND_NANOS);
        health.recordFailure(9 * SECOND_NANOS);
        assertThat(health.isSuspect(10 * SECOND_NANOS)).isTrue();
        assertThat(health.isSuspect(12 * SECOND_NANOS)).isFalse();
    }

    @Test
    void anAnswerBetweenTimeoutsResetsTheCount() {
        health.recordFailure(3 * SECOND_NANOS);
        health.recordFailure(6 * SECOND_NANOS);
        health.recordSuccess(7 * SECOND_NANOS, 10);
        health.recordFailure(9 * SECOND_NANOS);
        assertThat(health.isSuspect(10 * SECOND_NANOS)).isFalse();
    }
}
