package org.quetzalseam.standins;

/**
 * Capacity of an engine stand-in and the time its operations take. Immutable.
 *
 * @param slots number of sequences that fit into the memory of a decode engine
 * @param prefillMicrosPerToken prefill time of one prompt token, in microseconds
 * @param stepMicros time of one decode step, in microseconds
 * @param stepMicrosPerSequence time that each sequence adds to a decode step, in microseconds
 * @param kvBytesPerToken size of the KV cache of one token, in bytes
 * @param linkBytesPerMilli rate of the link over which a decode engine fetches KV caches, in bytes per millisecond
 * @param kvRetentionMillis how long a KV cache can be fetched after its prefill, in milliseconds
 * @param cachedTokens capacity of the prefix cache of a prefill engine, in prompt tokens
 */
public record EngineCosts(
        int slots,
        long prefillMicrosPerToken,
        long stepMicros,
        long stepMicrosPerSequence,
        long kvBytesPerToken,
        long linkBytesPerMilli,
        long kvRetentionMillis,
        long cachedTokens) {
    /** Returns costs in the proportions that the users describe, at real speed. */
    public static EngineCosts usual() {
        return new EngineCosts(20, 200, 25_000, 1_000, 100_000, 2_000_000, 800, 200_000);
    }

    /**
     * Returns these costs with everything {@code factor} times faster, except for the retention of a KV cache: the request to the
     * decode engine has to arrive within it and takes its real time at any speed.
     */
    public EngineCosts faster(double factor) {
        return new EngineCosts(
                slots,
                Math.max(1, (long) (prefillMicrosPerToken / factor)),
                (long) (stepMicros / factor),
                (long) (stepMicrosPerSequence / factor),
                kvBytesPerToken,
                (long) (linkBytesPerMilli * factor),
                kvRetentionMillis,
                cachedTokens);
    }
}
