package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class IdleLimitTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final IdleLimit limit = new IdleLimit();

    @Test
    void nothingIsLimitedBeforeALoss() {
        assertThat(limit.limitNanos(5 * SECOND)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void aLossHalvesTheIdleTimeThatItCameAfter() {
        limit.recordLoss(SECOND, 0);
        assertThat(limit.limitNanos(0)).isEqualTo(SECOND / 2);
    }

    @Test
    void aLossAfterAShorterIdleTimeLowersTheLimitAndALongerOneDoesNot() {
        limit.recordLoss(SECOND, 0);
        limit.recordLoss(SECOND / 5, 0);
        limit.recordLoss(10 * SECOND, 0);
        assertThat(limit.limitNanos(0)).isEqualTo(SECOND / 10);
    }

    @Test
    void itRisesWhileNothingIsLost() {
        limit.recordLoss(SECOND, 0);
        assertThat(limit.limitNanos(10 * SECOND)).isEqualTo(SECOND);
        assertThat(limit.limitNanos(20 * SECOND)).isEqualTo(2 * SECOND);
        assertThat(limit.limitNanos(100_000 * SECOND)).isEqualTo(Long.MAX_VALUE);
    }
}
