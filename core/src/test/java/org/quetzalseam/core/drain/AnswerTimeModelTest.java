package org.quetzalseam.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class AnswerTimeModelTest {
    private static final int ANSWERS = 400;
    private static final double DEVIATIONS = 3;

    private final AnswerTimeModel times = new AnswerTimeModel();

    @Test
    void noBoundIsGivenAfterTooFewAnswers() {
        for (int i = 0; i < 7; i++) {
            times.recordAnswer(1, 100);
        }
        assertThat(times.boundMillis(1, DEVIATIONS)).isEqualTo(Long.MAX_VALUE);
    }

    @Test
    void answersThatTakeAboutTheSameTimeAreBoundClosely() {
        for (int i = 0; i < ANSWERS; i++) {
            times.recordAnswer(1, 90 + i % 20);
        }
        assertThat(times.boundMillis(1, DEVIATIONS)).isBetween(105L, 150L);
    }

    /**
     * Sizes span two orders of magnitude, and estimates are right in the median and off by half an octave: few answers
     * exceed their bound.
     */
    @Test
    void theBoundFollowsTheCallersEstimate() {
        Random random = new Random(7);
        for (int i = 0; i < ANSWERS; i++) {
            double size = Math.exp(4 + 1.2 * random.nextGaussian());
            times.recordAnswer(size * Math.exp(0.35 * random.nextGaussian()), Math.round(40 * size));
        }
        assertThat(times.boundMillis(10, DEVIATIONS)).isLessThan(times.boundMillis(500, DEVIATIONS) / 10);
        int exceeded = 0;
        for (int i = 0; i < 10_000; i++) {
            double size = Math.exp(4 + 1.2 * random.nextGaussian());
            if (40 * size > times.boundMillis(size * Math.exp(0.35 * random.nextGaussian()), DEVIATIONS)) {
                exceeded++;
            }
        }
        assertThat(exceeded).isLessThan(50);
    }
}
