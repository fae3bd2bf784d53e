package org.quetzalseam.gateway.store;

import java.util.concurrent.TimeUnit;

/**
 * Tracks the age of the store's last response, and whether it may show the state of an older copy of the store. Not thread-safe.
 *
 * <p>A response's age counts from the time of its request, because the store may have produced it at any time since.
 */
final class LastResponse {
    /**
     * Greatest age of a response for the state to be current, in milliseconds: a change must be in force within two seconds, also
     * for a request that is in flight for some time.
     */
    static final long MAX_CURRENT_AGE_MILLIS = 1_500;

    private final long rewriteNanos;
    private long asOfNanos;
    private long restoredAtNanos;
    private boolean restored;

    /**
     * Creates a record without a response.
     *
     * @param now the monotonic time in nanoseconds, as in all calls
     * @param rewriteNanos time that writers may take to write their objects again after the store was restored from an older copy
     */
    LastResponse(long now, long rewriteNanos) {
        this.asOfNanos = now;
        this.rewriteNanos = rewriteNanos;
    }

    /** Records a response that the store gave at the given time or later. */
    void recordResponse(long earliest) {
        asOfNanos = Math.max(asOfNanos, earliest);
    }

    /** Records that the store may have been restored from an older copy just now. */
    void recordRestore(long now) {
        restored = true;
        restoredAtNanos = now;
    }

    long ageMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - asOfNanos);
    }

    /** Returns whether objects may be missing that their writers have yet to write again. */
    boolean recentlyRestored(long now) {
        return restored && now - restoredAtNanos < rewriteNanos;
    }

    boolean current(long now) {
        return ageMillis(now) <= MAX_CURRENT_AGE_MILLIS && !recentlyRestored(now);
    }
}
