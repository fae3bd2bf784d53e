package org.quetzalseam.daemon.entry;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.wire.message.LostRequest;

class QuarantineTest {
    private final AtomicLong clock = new AtomicLong();
    private final Quarantine quarantine = new Quarantine(clock::get);

    private void learnThreeCrashes(String request) {
        quarantine.learn("e1", List.of(new LostRequest(request, "e1#1"), new LostRequest(request, "e1#2")));
        quarantine.learn("e2", List.of(new LostRequest(request, "e2#1")));
    }

    private void passMillis(long millis) {
        clock.addAndGet(Duration.ofMillis(millis).toNanos());
    }

    private long refuse(long retryAfterMillis) {
        return quarantine
                .refusal("id", "r", Outcome.NOT_RUN, true, retryAfterMillis)
                .retryAfterMillis();
    }

    @Test
    void aRequestIsSuspectAfterThreeCrashesOfAnyEndpoints() {
        quarantine.learn("e1", List.of(new LostRequest("r", "e1#1")));
        quarantine.learn("e1", List.of(new LostRequest("r", "e1#1"), new LostRequest("r", "e1#2")));
        assertThat(quarantine.isSuspect(() -> "r")).isFalse();
        quarantine.learn("e2", List.of(new LostRequest("r", "e2#1")));
        assertThat(quarantine.isSuspect(() -> "r")).isTrue();
        assertThat(quarantine.isSuspect(() -> "q")).isFalse();
        assertThat(quarantine.suspects()).isEqualTo(1);
    }

    @Test
    void aRequestThatEndsIsNoSuspectAnyMore() {
        learnThreeCrashes("r");
        quarantine.recordEnded(() -> "r");
        assertThat(quarantine.isSuspect(() -> "r")).isFalse();
    }

    @Test
    void noFingerprintIsComputedWhileNoCrashIsKnown() {
        assertThat(quarantine.isSuspect(QuarantineTest::unexpected)).isFalse();
        quarantine.recordEnded(QuarantineTest::unexpected);
    }

    private static String unexpected() {
        throw new AssertionError("a fingerprint was computed");
    }

    @Test
    void noEndpointIsAskedAgainBeforeItsRetryAfterTime() {
        learnThreeCrashes("r");
        assertThat(quarantine.waitMillis("r")).isZero();
        assertThat(refuse(3_000)).isEqualTo(3_000);
        passMillis(1_000);
        assertThat(quarantine.waitMillis("r")).isEqualTo(2_000);
        refuse(2_000);
        passMillis(2_000);
        assertThat(quarantine.waitMillis("r")).isZero();
    }

    // Guards against a request being refused for minutes here after a probe at another entry has cleared it.
    @Test
    void anEndpointIsAskedAgainAfterFiveSecondsThoughCallersAreToldALongerTime() {
        learnThreeCrashes("r");
        refuse(600_000);
        passMillis(4_000);
        assertThat(quarantine.waitMillis("r")).isEqualTo(596_000);
        passMillis(1_000);
        assertThat(quarantine.waitMillis("r")).isZero();
    }
}
