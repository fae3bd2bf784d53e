package org.quetzalseam.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ProbeAllowanceTest {
    private final ProbeAllowance allowance = new ProbeAllowance(0);

    @Test
    void theFirstProbeIsDueAFifthOfASecondAfterTheSuspicion() {
        assertThat(allowance.waitNanos(0)).isEqualTo(200_000_000);
        assertThat(allowance.waitNanos(200_000_000)).isZero();
    }

    @Test
    void twoProbesAreAllowedAtFirst() {
        assertThat(allowance.isUsedUp(0, 0)).isFalse();
        assertThat(allowance.isUsedUp(1, 0)).isFalse();
        assertThat(allowance.covers(2)).isTrue();
        assertThat(allowance.covers(3)).isFalse();
        assertThat(allowance.isUsedUp(2, 0)).isTrue();
    }

    // Guards against a request that has crashed its probes too being sent to two more endpoints every ten minutes.
    @Test
    void afterTheFirstProbesOneIsAllowedInTenMinutes() {
        allowance.isUsedUp(2, 0);
        assertThat(allowance.waitNanos(0)).isEqualTo(ProbeAllowance.PROBE_KEEP_NANOS);
        long later = ProbeAllowance.PROBE_KEEP_NANOS;
        assertThat(allowance.isUsedUp(0, later)).isFalse();
        assertThat(allowance.covers(1)).isTrue();
        assertThat(allowance.covers(2)).isFalse();
        assertThat(allowance.isUsedUp(1, later)).isTrue();
        assertThat(allowance.waitNanos(later)).isEqualTo(ProbeAllowance.PROBE_KEEP_NANOS);
    }
}
