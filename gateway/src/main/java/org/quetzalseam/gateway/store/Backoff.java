package org.quetzalseam.gateway.store;

/** Delays before repetitions of what has failed: each is twice the one before, up to the longest. Not thread-safe. */
final class Backoff {
    private final long firstMillis;
    private final long longestMillis;
    private long nextMillis;

    Backoff(long firstMillis, long longestMillis) {
        this.firstMillis = firstMillis;
        this.longestMillis = longestMillis;
        this.nextMillis = firstMillis;
    }

    /** Returns the delay before the next repetition, in milliseconds. */
    long next() {
        long delay = nextMillis;
        nextMillis = Math.min(2 * nextMillis, longestMillis);
        return delay;
    }

    /** Begins again with the first delay. */
    void reset() {
        nextMillis = firstMillis;
    }
}
