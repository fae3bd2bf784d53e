package org.quetzalseam.core.generation;

/**
 * How much decode memory to book for a generation before its prompt is read. Not thread-safe.
 *
 * <p>Booking too little lets an engine preempt a generation and read it in again, which wastes more than the generation is
 * worth; booking too much leaves memory idle.
 */
public final class MemoryBooking {
    private final OutputLengthModel lengths = new OutputLengthModel();
    private final double deviations;
    private final int blockTokens;

    /**
     * Creates a policy.
     *
     * @param deviations standard deviations above the median length that are booked
     * @param blockTokens tokens that engines hand out memory by
     */
    public MemoryBooking(double deviations, int blockTokens) {
        this.deviations = deviations;
        this.blockTokens = blockTokens;
    }

    /** Notes a generation that ended as it should, and its length in any unit, the same for all. */
    public void ended(TokenDemand demand, double length) {
        lengths.ended(demand.expectedOutput(), length);
    }

    /** Returns the tokens to book. */
    public int tokens(TokenDemand demand) {
        double output = Math.min(demand.maxOutput(), lengths.tokens(demand.expectedOutput(), deviations));
        int tokens = demand.prompt() + (int) Math.ceil(output);
        int blocks = (tokens + blockTokens - 1) / blockTokens;
        return blocks * blockTokens;
    }
}
