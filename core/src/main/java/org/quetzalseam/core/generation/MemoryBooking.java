package org.quetzalseam.core.generation;

/**
 * How much decode memory to book for a generation before its prompt is read. Immutable.
 *
 * <p>Booking too little lets an engine preempt a generation and read it in again, which wastes more than the generation is
 * worth; booking too much leaves memory idle.
 */
public final class MemoryBooking {
    private final double outputFactor;
    private final int blockTokens;

    /**
     * Creates a policy.
     *
     * @param outputFactor booked output tokens for each token of the caller's estimate
     * @param blockTokens tokens that engines hand out memory by
     */
    public MemoryBooking(double outputFactor, int blockTokens) {
        this.outputFactor = outputFactor;
        this.blockTokens = blockTokens;
    }

    /** Returns the tokens to book. */
    public int tokens(TokenDemand demand) {
        double output = Math.min(demand.maxOutput(), demand.expectedOutput() * outputFactor);
        int tokens = demand.prompt() + (int) Math.ceil(output);
        int blocks = (tokens + blockTokens - 1) / blockTokens;
        return blocks * blockTokens;
    }
}
