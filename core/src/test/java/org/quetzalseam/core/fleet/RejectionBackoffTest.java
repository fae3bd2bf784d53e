package org.quetzalseam.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RejectionBackoffTest {
    private static final long SECOND = 1_000_000_000L;

    private final RejectionBackoff engine = new RejectionBackoff(0);

    /**
     * Sixteen prompts a second for an engine that turns all away for twelve seconds, as one that changes stage: without the
     * record it gets all 192, as it always looks like the emptiest.
     */
    @Test
    void anEngineThatRejectsAllWorkForTwelveSecondsGetsThreePrompts() {
        int sent = 0;
        for (long now = 0; now < 12 * SECOND; now += SECOND / 16) {
            if (!engine.isExcluded(now)) {
                sent++;
                engine.recordRejection(now);
            }
        }
        assertThat(sent).isEqualTo(3);
        assertThat(engine.isExcluded(15 * SECOND)).as("tried again soon after").isFalse();
    }

    @Test
    void anEngineThatAcceptsWorkAgainIsUsedAtOnceAndItsBackoffIsReset() {
        engine.recordRejection(0);
        engine.recordRejection(3 * SECOND);
        engine.recordAcceptance();
        assertThat(engine.isExcluded(3 * SECOND)).isFalse();
        engine.recordRejection(4 * SECOND);
        assertThat(engine.isExcluded(5 * SECOND)).isTrue();
        assertThat(engine.isExcluded(6 * SECOND)).isFalse();
    }

    @Test
    void rejectionsOfWorkSentBeforeTheExclusionCountOnce() {
        for (int i = 0; i < 10; i++) {
            engine.recordRejection(i);
        }
        assertThat(engine.isExcluded(2 * SECOND + 1)).isFalse();
    }

    @Test
    void oneRejectionIsToleratedWhereAnotherEngineMayBeTheCause() {
        RejectionBackoff reader = new RejectionBackoff(1);
        reader.recordRejection(0);
        assertThat(reader.isExcluded(1)).isFalse();
        reader.recordAcceptance();
        reader.recordRejection(2);
        assertThat(reader.isExcluded(3)).isFalse();
        reader.recordRejection(4);
        assertThat(reader.isExcluded(5)).isTrue();
    }
}
