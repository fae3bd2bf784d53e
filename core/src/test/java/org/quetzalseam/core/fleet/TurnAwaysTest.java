package org.quetzalseam.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TurnAwaysTest {
    private static final long SECOND = 1_000_000_000L;

    private final TurnAways engine = new TurnAways(0);

    /**
     * Sixteen prompts a second for an engine that turns all away for twelve seconds, as one that changes stage: without the
     * record it gets all 192, as it always looks like the emptiest.
     */
    @Test
    void anEngineThatTakesNothingForTwelveSecondsGetsThreePrompts() {
        int sent = 0;
        for (long now = 0; now < 12 * SECOND; now += SECOND / 16) {
            if (!engine.leftOut(now)) {
                sent++;
                engine.turnedAway(now);
            }
        }
        assertThat(sent).isEqualTo(3);
        assertThat(engine.leftOut(15 * SECOND)).as("tried again soon after").isFalse();
    }

    @Test
    void anEngineThatTakesWorkAgainIsUsedAtOnceAndStartsAnew() {
        engine.turnedAway(0);
        engine.turnedAway(3 * SECOND);
        engine.taken();
        assertThat(engine.leftOut(3 * SECOND)).isFalse();
        engine.turnedAway(4 * SECOND);
        assertThat(engine.leftOut(5 * SECOND)).isTrue();
        assertThat(engine.leftOut(6 * SECOND)).isFalse();
    }

    @Test
    void whatWasSentBeforeItWasLeftOutCountsOnce() {
        for (int i = 0; i < 10; i++) {
            engine.turnedAway(i);
        }
        assertThat(engine.leftOut(2 * SECOND + 1)).isFalse();
    }

    @Test
    void oneTurnAwayIsToleratedWhereAnotherEngineMayBeTheCause() {
        TurnAways reader = new TurnAways(1);
        reader.turnedAway(0);
        assertThat(reader.leftOut(1)).isFalse();
        reader.taken();
        reader.turnedAway(2);
        assertThat(reader.leftOut(3)).isFalse();
        reader.turnedAway(4);
        assertThat(reader.leftOut(5)).isTrue();
    }
}
