package org.quetzalseam.core.generation;

/**
 * Predicts how long generations become from the caller's estimate. Not thread-safe.
 *
 * <p>The model assumes that the logarithm of the length depends linearly on that of the estimate, with a normally
 * distributed error. The line is fitted by least squares over the recorded lengths, with exponentially decaying
 * weights. An estimate far from the usual is mostly an estimate that is far off, so the line is flatter than the
 * identity, and the error about it is smaller than that of the estimate itself. Lengths may be counted in any unit,
 * such as events or milliseconds: the estimates are right in the median, which gives the number of tokens in a unit.
 */
public final class OutputLengthModel {
    /** Factor applied to the weight of earlier lengths with each new one: about the last two hundred count. */
    private static final double DECAY = 0.995;
    /** Number of recorded lengths that weigh as much as the assumptions below. */
    private static final double ASSUMED_WEIGHT = 12;
    /**
     * Assumed slope of the line: an estimate twice as long predicts an output longer by about half an octave, a usual
     * regression.
     */
    private static final double ASSUMED_SLOPE = 0.6;
    /** Assumed spread of the estimates, as the variance of their logarithm: a factor of about 1.65 either way. */
    private static final double ASSUMED_VARIANCE = 0.25;
    /** Assumed error about the line, as the variance of the length's logarithm: a factor of about 1.5 either way. */
    private static final double ASSUMED_ERROR_VARIANCE = 0.16;

    private double weight;
    private double meanEstimate;
    private double meanLength;
    private double estimateSquares;
    private double lengthSquares;
    private double products;

    /**
     * Records a generation that ended normally: the caller's estimate, and its length in any unit. Ignored unless both
     * are above 0.
     */
    public void recordLength(double estimate, double length) {
        if (!(estimate > 0) || !(length > 0)) {
            return;
        }
        double x = Math.log(estimate);
        double y = Math.log(length);
        weight = weight * DECAY + 1;
        double dx = x - meanEstimate;
        double dy = y - meanLength;
        meanEstimate += dx / weight;
        meanLength += dy / weight;
        estimateSquares = estimateSquares * DECAY + dx * (x - meanEstimate);
        lengthSquares = lengthSquares * DECAY + dy * (y - meanLength);
        products = products * DECAY + dx * (y - meanLength);
    }

    /**
     * Returns the number of output tokens that a generation stays below, with a probability given in standard
     * deviations.
     *
     * @param estimate the caller's estimate, in tokens
     * @param deviations how many standard deviations above the median: 0 for one in two, 1.28 for nine in ten
     */
    public double boundTokens(double estimate, double deviations) {
        double x = Math.log(Math.max(1, estimate));
        double usual = weight == 0 ? x : meanEstimate;
        return Math.exp(usual + slope() * (x - usual) + deviations * Math.sqrt(errorVariance()));
    }

    /**
     * Returns the length that a generation stays below, in the unit of the recorded lengths; requires at least one
     * recorded length.
     *
     * @param estimate the caller's estimate, in tokens
     * @param deviations how many standard deviations above the median
     */
    public double boundLength(double estimate, double deviations) {
        double x = Math.log(Math.max(1, estimate));
        return Math.exp(meanLength + slope() * (x - meanEstimate) + deviations * Math.sqrt(errorVariance()));
    }

    private double slope() {
        double assumed = ASSUMED_WEIGHT * ASSUMED_VARIANCE;
        return (products + ASSUMED_SLOPE * assumed) / (estimateSquares + assumed);
    }

    /** Returns the variance about the line, including the weighted assumption. */
    private double errorVariance() {
        double slope = slope();
        double residualSquares = lengthSquares - 2 * slope * products + slope * slope * estimateSquares;
        return (Math.max(0, residualSquares) + ASSUMED_WEIGHT * ASSUMED_ERROR_VARIANCE) / (weight + ASSUMED_WEIGHT);
    }
}
