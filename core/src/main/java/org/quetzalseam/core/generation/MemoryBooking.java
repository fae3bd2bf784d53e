package org.quetzalseam.core.generation;

/**
 * How much decode memory to book for a generation before its prompt is read. Not thread-safe.
 *
 * <p>Booking too little lets an engine preempt a generation and read it in again, which wastes more than the generation is
 * worth; booking too much leaves memory idle. So two sizes are told apart: a generation is admitted where it would fit even if
 * it got long, but only its usual size stays booked. What the others leave of that room serves those who do get long.
 */
public final class MemoryBooking {
    private final OutputLengthModel lengths = new OutputLengthModel();
    private final double bookedDeviations;
    private final double admittedDeviations;
    private final int blockTokens;

    /**
     * Creates a policy.
     *
     * @param bookedDeviations standard deviations above the median length that stay booked
     * @param admittedDeviations standard deviations above it that must be free on admission, no fewer
     * @param blockTokens tokens that engines hand out memory by
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

    /** Notes a generation that ended as it should, and its length in any unit, the same for all. */
    public void recordLength(TokenDemand demand, double length) {
        lengths.recordLength(demand.expectedOutput(), length);
    }

    /** Returns the tokens to book. */
    public int bookedTokens(TokenDemand demand) {
        return roundUpToBlocks(demand.prompt() + outputTokens(demand, bookedDeviations));
    }

    /** Returns the tokens that must be free beside those that are booked. */
    public int headroomTokens(TokenDemand demand) {
        return roundUpToBlocks(outputTokens(demand, admittedDeviations) - outputTokens(demand, bookedDeviations));
    }

    /**
     * Returns what a generation is expected to cost, in tokens of memory times tokens of output: it holds its prompt, and on
     * average half of its output, for as long as its output takes.
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
