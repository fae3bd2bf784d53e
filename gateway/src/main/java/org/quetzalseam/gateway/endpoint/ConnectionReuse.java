package org.quetzalseam.gateway.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * Whether connections to an endpoint are used for more than one call. An endpoint that sends replies again costs the next call on the
 * connection, and a reply without an id can't be told from a copy; the first call on a connection is safe from both. Not
 * thread-safe. Times are monotonic nanoseconds.
 */
final class ConnectionReuse {
    /** How long connections carry one call each, in nanoseconds: a fault that goes on costs one call in this time. */
    private static final long PAUSE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private boolean paused;
    private long pausedAt;

    /** Records that a connection received bytes that belong to no call. Returns whether connections were used again until now. */
    boolean recordStrayBytes(long now) {
        boolean before = allowed(now);
        paused = true;
        pausedAt = now;
        return before;
    }

    /** Returns whether a connection that has carried a call may carry another. */
    boolean allowed(long now) {
        paused = paused && now - pausedAt < PAUSE_NANOS;
        return !paused;
    }
}
