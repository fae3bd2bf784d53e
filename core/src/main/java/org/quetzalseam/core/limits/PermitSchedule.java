package org.quetzalseam.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * Spaces the requests of all entries to one endpoint so that they stay below the limit that the endpoint states. Not thread-safe.
 * Times are monotonic nanoseconds.
 *
 * <p>Requests are admitted one interval apart, in the order in which entries ask; one that can wait gets the next free time in
 * advance. At most one request can be saved up, so that entries that ask late or rarely do not cause bursts.
 */
public final class PermitSchedule {
    /** Part of the stated limit that is used; the rest covers clocks that differ and requests that arrive closer together. */
    private static final double USED_SHARE = 0.95;
    /**
     * Smallest rate of all entries together, in requests a second: an endpoint that states 0, or nearly 0, gets a request now and then, whose answer shows
     * whether it still does.
     */
    private static final double MIN_PER_SECOND = 0.25;
    /** Longest time after which a refused request is asked to return, in nanoseconds. */
    private static final long MAX_RETURN_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Number of intervals between two callers that are asked to return, which leaves room for those that come for the first time. */
    private static final double RETURN_SPACING = 1.25;

    private static final double NANOS_PER_SECOND = 1e9;

    private double intervalNanos;
    private long nextAt;
    private long returnAt;

    /**
     * Creates a schedule.
     *
     * @param limitPerSecond the limit, in requests a second from all entries together
     * @param share the part of it that this schedule may use, above 0 and at most 1
     * @param phase the part of the time between two requests that passes before the first one, from 0 to 1
     */
    public PermitSchedule(double limitPerSecond, double share, double phase, long now) {
        this.intervalNanos = intervalNanos(limitPerSecond, share);
        this.nextAt = now + (long) (intervalNanos * phase);
        this.returnAt = now;
    }

    private static double intervalNanos(double limitPerSecond, double share) {
        return NANOS_PER_SECOND / (Math.max(MIN_PER_SECOND, limitPerSecond * USED_SHARE) * share);
    }

    /** Applies a limit. Requests that wait keep their number, not their times. */
    public void update(double limitPerSecond, double share, long now) {
        double newInterval = intervalNanos(limitPerSecond, share);
        if (newInterval != intervalNanos) {
            nextAt = now + rescale(nextAt - now, newInterval);
            returnAt = now + rescale(returnAt - now, newInterval);
            intervalNanos = newInterval;
        }
    }

    private long rescale(long aheadNanos, double newInterval) {
        return (long) (Math.max(0, aheadNanos) / intervalNanos * newInterval);
    }

    /**
     * Asks to send requests.
     *
     * @param requests how many, to be sent together
     * @param maxWaitNanos how long they can wait
     */
    public Permit ask(int requests, long maxWaitNanos, long now) {
        long interval = (long) intervalNanos;
        nextAt = Math.max(nextAt, now - interval);
        long waitNanos = Math.max(0, nextAt - now);
        if (waitNanos <= maxWaitNanos) {
            nextAt += interval * requests;
            return Permit.granted(waitNanos);
        }
        return Permit.refused(Math.max(waitNanos - maxWaitNanos, returnAt - now));
    }

    /**
     * Returns when the caller of refused requests should return: callers come one after the other, from the time at which the first
     * of them can wait for its turn.
     */
    public Permit askReturn(int requests, long maxWaitNanos, long now) {
        returnAt = Math.max(Math.max(returnAt, now), nextAt + (long) intervalNanos - maxWaitNanos);
        long told = returnAt - now;
        if (told >= MAX_RETURN_NANOS) {
            return Permit.refused(MAX_RETURN_NANOS);
        }
        returnAt += (long) (intervalNanos * RETURN_SPACING * requests);
        return Permit.refused(told);
    }
}
