package org.quetzalseam.gateway.store;

import java.util.concurrent.TimeUnit;

/**
 * How old the newest word from the store is, and whether it may be that of an older copy. Not thread-safe.
 *
 * <p>A word's age counts from when it was asked for: the store may have given its answer at any time since.
 */
final class LastWord {
    /**
     * How old a word may be for the state to be known, in milliseconds: a change must be in force within two seconds, also for a
     * request that is on its way for some time.
     */
    static final long CURRENT_MILLIS = 1_500;

    private final long copyNanos;
    private long saidAt;
    private long copyShownAt;
    private boolean copyShown;

    /**
     * Begins without a word.
     *
     * @param now the monotonic time in nanoseconds, as in all calls
     * @param copyNanos how long after the store has come back from an older copy its writers may take to write theirs again
     */
    LastWord(long now, long copyNanos) {
        this.saidAt = now;
        this.copyNanos = copyNanos;
    }

    /** Notes a word that the store gave at a time or later. */
    void said(long atLeast) {
        saidAt = Math.max(saidAt, atLeast);
    }

    /** Notes that the store may have come back from an older copy just now. */
    void copyShown(long now) {
        copyShown = true;
        copyShownAt = now;
    }

    long ageMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - saidAt);
    }

    /** Returns whether something may be missing that its writer is to write again. */
    boolean mayBeOldCopy(long now) {
        return copyShown && now - copyShownAt < copyNanos;
    }

    boolean current(long now) {
        return ageMillis(now) <= CURRENT_MILLIS && !mayBeOldCopy(now);
    }
}
