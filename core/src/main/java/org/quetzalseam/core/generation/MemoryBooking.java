package org.quetzalseam.core.generation;

/**
 * Computes how much decode memory to book for a generation before its prefill. Not thread-safe.
 *
 * <p>Booking too little makes an engine preempt a generation and prefill it again, which wastes more than the
 * generation is worth; booking too much leaves memory idle. So there are two sizes: a generation is admitted only where
 * it would fit even if it became long, but only its usual size stays booked. The headroom that short generations leave
 * serves those that become long.
 */
public final class MemoryBooking {
    private final OutputLengthModel lengths = new OutputLengthModel();
    private final double bookedDeviations;
    private final double admittedDeviations;
    private final int blockTokens;

    /**
     * Creates a booking policy.
     *
     * @param bookedDeviations standard deviations above the median length that stay booked
     * @param admittedDeviations standard deviations above the median length that must be free on admission, at least
     *     {@code bookedDeviations}
     * @param blockTokens size in tokens of the blocks in which engines allocate memory
     */
    public MemoryBooking(double bookedDeviations, double admittedDeviations, int blockTokens) {
        if (!(admittedDeviations >= bookedDeviations)) {
            throw new IllegalArgumentException(
                    "admitted deviations: expected at least " + bookedDeviations + ", got " + admittedDeviations);
        }
        this.bookedDeviations = bookedDeviations;
        this.admittedDeviations = admittedDeviations;
        this.blockTokens = blockTokens;
    }

    /** Records the length of a generation that ended normally, in any unit, the same for all. */
    public void recordLength(TokenDemand demand, double length) {
        lengths.recordLength(demand.expectedOutput(), length);
    }

    /** Returns the tokens to book. */
    public int bookedTokens(TokenDemand demand) {
        return roundUpToBlocks(demand.prompt() + outputTokens(demand, bookedDeviations));
    }

    /** Returns the tokens that must be free on admission in addition to those that are booked. */
    public int headroomTokens(TokenDemand demand) {
        return roundUpToBlocks(outputTokens(demand, admittedDeviations) - outputTokens(demand, bookedDeviations));
    }

    /**
     * Returns the expected cost of a generation, in tokens of memory times tokens of output: it holds its prompt, and
     * on average half of its output, for as long as its output takes.
     */
    public double expectedCost(TokenDemand demand) {
        double output = outputTokens(demand, 0);
        return (demand.prompt() + output / 2) * output;
    }

    private double outputTokens(TokenDemand demand, double deviations) {
        return Math.min(demand.maxOutput(), lengths.boundTokens(demand.expectedOutput(), deviations));
    }

    private int roundUpToBlocks(double tokens) {
        return (int) Math.ceil(tokens / blockTokens) * blockTokens;
    }
}
