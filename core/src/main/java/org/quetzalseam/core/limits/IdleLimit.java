package org.quetzalseam.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * How long a kept connection to one endpoint may rest before it is used again. Not thread-safe.
 *
 * <p>An endpoint says how long it keeps an idle connection, but may forget one sooner, without notice: the next request on it
 * is lost, and may not be sent again where it isn't idempotent. Each such loss brings the limit well below the rest that it
 * came after; it rises again while none comes.
 */
public final class IdleLimit {
    /** Part of the rest that led to a loss which is still taken to be safe. */
    private static final double SAFE_SHARE = 0.5;
    /** Time without a loss after which the limit has doubled, in nanoseconds: a restart, a common cause, is over by then. */
    private static final long DOUBLING_NANOS = TimeUnit.SECONDS.toNanos(10);

    private long limitAtLossNanos = Long.MAX_VALUE;
    private long lostAt;

    /** Notes that a request was lost on a connection that had rested for a time. */
    public void recordLoss(long restNanos, long now) {
        limitAtLossNanos = Math.min(limitNanos(now), (long) (restNanos * SAFE_SHARE));
        lostAt = now;
    }

    /** Returns the longest rest after which a connection is still used, in nanoseconds. */
    public long limitNanos(long now) {
        if (limitAtLossNanos == Long.MAX_VALUE) {
            return limitAtLossNanos;
        }
        double doublings = (double) (now - lostAt) / DOUBLING_NANOS;
        return (long) Math.min(limitAtLossNanos * Math.pow(2, doublings), Long.MAX_VALUE);
    }
}
