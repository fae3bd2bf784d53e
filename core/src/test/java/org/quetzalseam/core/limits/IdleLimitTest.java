package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class IdleLimitTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final IdleLimit limit = new IdleLimit();

    @Test
    void nothingIsLimitedBeforeALoss() {
        assertThat(limit.atTime(5 * SECOND)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aLossKeepsConnectionsFromRestingHalfAsLong() {
        limit.lost(SECOND, 0);
        assertThat(limit.atTime(0)).isEqualTo(SECOND / 2);
    }

    @Test
    void aShorterRestThatLosesARequestLowersItAndALongerOneDoesnt() {
        limit.lost(SECOND, 0);
        limit.lost(SECOND / 5, 0);
        limit.lost(10 * SECOND, 0);
        assertThat(limit.atTime(0)).isEqualTo(SECOND / 10);
    }

    @Test
    void itRisesWhileNothingIsLost() {
        limit.lost(SECOND, 0);
        assertThat(limit.atTime(10 * SECOND)).isEqualTo(SECOND);
        assertThat(limit.atTime(20 * SECOND)).isEqualTo(2 * SECOND);
        assertThat(limit.atTime(100_000 * SECOND)).isEqualTo(Long.MAX_VALUE);
    }
}
