package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class IdleLimitTest {
    private static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final IdleLimit limit = new IdleLimit();

    @Test
    void nothingIsLimitedBeforeALoss() {
        assertThat(limit.limitNanos(5 * SECOND_NANOS)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aLossHalvesTheIdleTimeThatItCameAfter() {
        limit.recordLoss(SECOND_NANOS, 0);
        assertThat(limit.limitNanos(0)).isEqualTo(SECOND_NANOS / 2);
    }

    @Test
    void aLossAfterAShorterIdleTimeLowersTheLimitAndALongerOneDoesNot() {
        limit.recordLoss(SECOND_NANOS, 0);
        limit.recordLoss(SECOND_NANOS / 5, 0);
        limit.recordLoss(10 * SECOND_NANOS, 0);
        assertThat(limit.limitNanos(0)).isEqualTo(SECOND_NANOS / 10);
    }

    @Test
    void itRisesWhileNothingIsLost() {
        limit.recordLoss(SECOND_NANOS, 0);
        assertThat(limit.limitNanos(10 * SECOND_NANOS)).isEqualTo(SECOND_NANOS);
        assertThat(limit.limitNanos(20 * SECOND_NANOS)).isEqualTo(2 * SECOND_NANOS);
        assertThat(limit.limitNanos(100_000 * SECOND_NANOS)).isEqualTo(Long.MAX_VALUE);
    }
}
