package org.quetzalseam.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * Limits how long a kept-alive connection to one endpoint may be idle and still be used again. Not thread-safe.
 *
 * <p>An endpoint states how long it keeps an idle connection, but may drop one sooner, without notice: the next request
 * on it is lost, and may not be retried where it is not idempotent. Each such loss lowers the limit well below the idle
 * time that it came after; the limit rises again while no request is lost.
 */
public final class IdleLimit {
    /** Share of the idle time before a loss that still counts as safe. */
    private static final double SAFE_SHARE = 0.5;
    /** Time without a loss in which the limit doubles, in nanoseconds: a restart, a common cause, is over by then. */
    private static final long DOUBLING_NANOS = TimeUnit.SECONDS.toNanos(10);

    private long limitAtLossNanos = Long.MAX_VALUE;
    private long lostAt;

    /** Records that a request was lost on a connection that had been idle for a time. */
    public void recordLoss(long idleNanos, long now) {
        limitAtLossNanos = Math.min(limitNanos(now), (long) (idleNanos * SAFE_SHARE));
        lostAt = now;
    }

    /** Returns the longest idle time after which a connection is still used, in nanoseconds. */
    public long limitNanos(long now) {
        if (limitAtLossNanos == Long.MAX_VALUE) {
            return limitAtLossNanos;
        }
        double doublings = (double) (now - lostAt) / DOUBLING_NANOS;
        return (long) Math.min(limitAtLossNanos * Math.pow(2, doublings), Long.MAX_VALUE);
    }
}
