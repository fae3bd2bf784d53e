package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class OutputLengthModelTest {
    private static final double TOKENS_IN_EVENT = 50;

    /** Draws a length about 4,000 tokens, and an estimate about that length, each spread by a factor. */
    private static double[] drawn(Random random, double lengthSpread, double estimateSpread) {
        double tokens = 4_000 * Math.exp(lengthSpread * random.nextGaussian());
        double estimate = tokens * Math.exp(estimateSpread * random.nextGaussian());
        return new double[] {tokens, estimate};
    }

    private static double shareWithin(double lengthSpread, double estimateSpread, double deviations) {
        Random random = new Random(7);
        OutputLengthModel model = new OutputLengthModel();
        int within = 0;
        int compared = 0;
        for (int i = 0; i < 4_000; i++) {
            double[] draw = drawn(random, lengthSpread, estimateSpread);
            if (i >= 500) {
                compared++;
                within += draw[0] <= model.boundTokens(draw[1], deviations) ? 1 : 0;
            }
            model.recordLength(draw[1], draw[0] / TOKENS_IN_EVENT);
        }
        return (double) within / compared;
    }

    @Test
    void nineInTenStayBelowWhatIsBookedForNineInTen() {
        assertThat(shareWithin(0.5, 0.5, 1.28)).isBetween(0.86, 0.94);
    }

    @Test
    void anEstimateThatIsExactIsTrusted() {
        assertThat(shareWithin(0.8, 0.01, 1.28)).isGreaterThan(0.86);
        OutputLengthModel model = new OutputLengthModel();
        Random random = new Random(3);
        for (int i = 0; i < 1_000; i++) {
            double[] draw = drawn(random, 0.8, 0.01);
            model.recordLength(draw[1], draw[0] / TOKENS_IN_EVENT);
        }
        assertThat(model.boundTokens(16_000, 1.28)).isBetween(16_000 * 0.95, 16_000 * 1.25);
    }

    @Test
    void uninformativeEstimatesYieldTheUsualLength() {
        OutputLengthModel model = new OutputLengthModel();
        Random random = new Random(5);
        for (int i = 0; i < 1_000; i++) {
            double tokens = 4_000 * Math.exp(0.3 * random.nextGaussian());
            double estimate = 4_000 * Math.exp(0.9 * random.nextGaussian());
            model.recordLength(estimate, tokens / TOKENS_IN_EVENT);
        }
        assertThat(model.boundTokens(40_000, 0)).isBetween(3_000.0, 5_500.0);
        assertThat(model.boundTokens(400, 0)).isBetween(3_000.0, 5_500.0);
    }

    @Test
    void beforeAnythingIsKnownTheEstimateIsBookedWithRoom() {
        assertThat(new OutputLengthModel().boundTokens(1_000, 1.28)).isBetween(1_500.0, 2_000.0);
    }

    @Test
    void estimatesAndLengthsThatAreNotPositiveAreIgnored() {
        OutputLengthModel model = new OutputLengthModel();
        double before = model.boundTokens(1_000, 1);
        model.recordLength(0, 5);
        model.recordLength(5, 0);
        assertThat(model.boundTokens(1_000, 1)).isEqualTo(before);
    }
}
