package org.quetzalseam.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RejectionBackoffTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final RejectionBackoff engine = new RejectionBackoff(0);

    /**
     * Sends 16 prompts per second to an engine that rejects all of them for 12 seconds, as during a change of stage.
     * Without the backoff it would get all 192, because it always looks like the least loaded engine.
     */
    @Test
    void anEngineThatRejectsAllWorkForTwelveSecondsGetsThreePrompts() {
        int sent = 0;
        for (long now = 0; now < 12 * SECOND_NANOS; now += SECOND_NANOS / 16) {
            if (!engine.isExcluded(now)) {
                sent++;
                engine.recordRejection(now);
            }
        }
        assertThat(sent).isEqualTo(3);
        assertThat(engine.isExcluded(15 * SECOND_NANOS))
                .as("used again soon after")
                .isFalse();
    }

    @Test
    void anEngineThatAcceptsWorkAgainIsUsedAtOnceAndItsBackoffIsReset() {
        engine.recordRejection(0);
        engine.recordRejection(3 * SECOND_NANOS);
        engine.recordAcceptance();
        assertThat(engine.isExcluded(3 * SECOND_NANOS)).isFalse();
        engine.recordRejection(4 * SECOND_NANOS);
        assertThat(engine.isExcluded(5 * SECOND_NANOS)).isTrue();
        assertThat(engine.isExcluded(6 * SECOND_NANOS)).isFalse();
    }

    @Test
    void rejectionsOfWorkSentBeforeTheExclusionCountOnce() {
        for (int i = 0; i < 10; i++) {
            engine.recordRejection(i);
        }
        assertThat(engine.isExcluded(2 * SECOND_NANOS + 1)).isFalse();
    }

    @Test
    void oneRejectionIsToleratedWhereAnotherEngineMayBeTheCause() {
        RejectionBackoff prefillEngine = new RejectionBackoff(1);
        prefillEngine.recordRejection(0);
        assertThat(prefillEngine.isExcluded(1)).isFalse();
        prefillEngine.recordAcceptance();
        prefillEngine.recordRejection(2);
        assertThat(prefillEngine.isExcluded(3)).isFalse();
        prefillEngine.recordRejection(4);
        assertThat(prefillEngine.isExcluded(5)).isTrue();
    }
}
