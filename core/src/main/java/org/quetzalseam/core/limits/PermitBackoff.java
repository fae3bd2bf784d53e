package org.quetzalseam.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * What one entry remembers of the answers to its questions about one endpoint, so that it does not ask in vain. Not thread-safe.
 * Times are monotonic nanoseconds.
 */
public final class PermitBackoff {
    /** Longest pause between two questions, in nanoseconds. */
    private static final long MAX_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(10);
    /** Number of refusals in a row after which the pause grows no more. */
    private static final int MAX_DOUBLINGS = 8;

    private int refusals;
    private long askAt;
    private boolean pausing;
    private long freeAt;

    /** Records that requests were granted, to be sent after a time. */
    public void recordGranted(long waitNanos, long now) {
        refusals = 0;
        pausing = false;
        freeAt = now + waitNanos;
    }

    /** Records that requests were refused, which can be sent after a time if no others come before. */
    public void recordRefused(long waitNanos, long now) {
        refusals = Math.min(refusals + 1, MAX_DOUBLINGS);
        pausing = true;
        askAt = now + Math.min(MAX_PAUSE_NANOS, waitNanos << (refusals - 1));
        freeAt = now + waitNanos;
    }

    /** Returns whether it is worth asking for a request that can be sent elsewhere as well. */
    public boolean mayAsk(long now) {
        return !pausing || now - askAt >= 0;
    }

    /** Returns the estimated time until a request can be sent, in nanoseconds. */
    public long waitNanos(long now) {
        return Math.max(0, freeAt - now);
    }
}
