package org.quetzalseam.core.limits;

/**
 * Tells how long a caller has waited in earlier tries of a request, from the patience it has left. Not thread-safe.
 *
 * <p>Callers of one route begin with the same patience, so the most seen lately is a first try's; who has less comes back.
 */
public final class CallerPatience {
    /** How fast the most seen fades with each request, in milliseconds, so that a shorter patience is learnt in time. */
    private static final double FADE_MILLIS = 1;
    /** Differences up to this are the path's, in milliseconds. */
    private static final long SAME_MILLIS = 20;

    private double most;

    /** Notes a request's patience and returns how much of it was spent before, both in milliseconds. */
    public long spent(long patienceMillis) {
        if (patienceMillis == Long.MAX_VALUE) {
            return 0;
        }
        most = Math.max(most - FADE_MILLIS, (double) patienceMillis);
        long spent = Math.round(most) - patienceMillis;
        return spent <= SAME_MILLIS ? 0 : spent;
    }
}
