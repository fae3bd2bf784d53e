package org.quetzalseam.gateway.store;

import java.util.concurrent.TimeUnit;

/**
 * How old the newest word from the store is, and whether it may be that of an older copy. Not thread-safe.
 *
 * <p>A word's age counts from when it was asked for: the store may have given its answer at any time since.
 */
final class LastResponse {
    /**
     * How old a word may be for the state to be known, in milliseconds: a change must be in force within two seconds, also for a
     * request that is on its way for some time.
     */
    static final long MAX_CURRENT_AGE_MILLIS = 1_500;

    private final long rewriteNanos;
    private long asOfNanos;
    private long restoredAtNanos;
    private boolean restored;

    /**
     * Begins without a word.
     *
     * @param now the monotonic time in nanoseconds, as in all calls
     * @param rewriteNanos how long after the store has come back from an older copy its writers may take to write theirs again
     */
    LastResponse(long now, long copyNanos) {
        this.asOfNanos = now;
        this.rewriteNanos = copyNanos;
    }

    /** Notes a word that the store gave at a time or later. */
    void recordResponse(long atLeast) {
        asOfNanos = Math.max(asOfNanos, atLeast);
    }

    /** Notes that the store may have come back from an older copy just now. */
    void recordRestore(long now) {
        restored = true;
        restoredAtNanos = now;
    }

    long ageMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - asOfNanos);
    }

    /** Returns whether something may be missing that its writer is to write again. */
    boolean recentlyRestored(long now) {
        return restored && now - restoredAtNanos < rewriteNanos;
    }

    boolean current(long now) {
        return ageMillis(now) <= MAX_CURRENT_AGE_MILLIS && !recentlyRestored(now);
    }
}
