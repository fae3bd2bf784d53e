package org.quetzalseam.daemon.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.ProbeAllowance;

class ProbeGateTest {
    private static final long FIRST = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long SECOND = FIRST + ProbeAllowance.INTERVAL_NANOS;

    private final ProbeGate gate = new ProbeGate();

    @Test
    void aRequestHasTwoProbesFiveSecondsApartAndThenNoneForTenMinutes() {
        assertThat(gate.take("r", 0)).hasValue(FIRST);
        assertThat(gate.take("r", FIRST)).isEmpty();
        assertThat(gate.take("r", FIRST)).hasValue(ProbeAllowance.INTERVAL_NANOS);
        assertThat(gate.take("r", SECOND)).isEmpty();
        long third = SECOND + ProbeAllowance.INTERVAL_NANOS;
        assertThat(gate.take("r", third)).hasValue(ProbeAllowance.PROBE_KEEP_NANOS);
        assertThat(gate.take("r", third + ProbeAllowance.PROBE_KEEP_NANOS)).isEmpty();
    }

    @Test
    void askingWhetherAProbeIsAllowedTakesNone() {
        assertThat(gate.check("r", 0)).hasValue(FIRST);
        assertThat(gate.check("r", FIRST)).isEmpty();
        assertThat(gate.check("r", FIRST)).isEmpty();
        assertThat(gate.take("r", FIRST)).isEmpty();
    }

    @Test
    void aRequestThatEndedRunsFreelyUntilItIsLostAgain() {
        gate.check("r", 0);
        gate.take("r", FIRST);
        gate.recordEnded(() -> "r");
        assertThat(gate.take("r", FIRST)).isEmpty();
        assertThat(gate.take("r", FIRST)).isEmpty();
        gate.recordLost("r");
        assertThat(gate.take("r", FIRST)).hasValue(ProbeAllowance.INTERVAL_NANOS);
    }

    // Guards against a request being refused because the back end could not be reached when it was to be probed.
    @Test
    void aProbeThatHasNotRunMayBeTakenAgain() {
        gate.check("r", 0);
        gate.take("r", FIRST);
        gate.giveBack("r", FIRST);
        assertThat(gate.take("r", FIRST)).isEmpty();
        assertThat(gate.take("r", SECOND)).isEmpty();
        assertThat(gate.take("r", SECOND + ProbeAllowance.INTERVAL_NANOS)).isNotEmpty();
    }

    @Test
    void aRequestThatIsAskedForIsNotForgottenForAFloodOfOthers() {
        gate.check("r", 0);
        gate.take("r", FIRST);
        for (int i = 0; i < 4 * ProbeGate.MAX_REQUESTS; i++) {
            gate.check("other" + i, 0);
            gate.check("r", FIRST);
        }
        assertThat(gate.take("r", FIRST)).hasValue(ProbeAllowance.INTERVAL_NANOS);
    }
}
