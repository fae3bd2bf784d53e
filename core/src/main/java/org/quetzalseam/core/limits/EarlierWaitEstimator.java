package org.quetzalseam.core.limits;

/**
 * Tells how long a caller has waited in earlier tries of a request, from the patience it has left. Not thread-safe.
 *
 * <p>Where the callers of a route begin with the same patience, the most seen lately is a first try's, and who has less comes
 * back. Where they begin with different ones, less says nothing, and nobody is taken to have come back: a first try
 * taken for a later one counts as late before it has begun, and is served after others or not at all.
 */
public final class EarlierWaitEstimator {
    /** How fast the most seen fades with each request, in milliseconds, so that a shorter patience is learnt in time. */
    private static final double DECAY_MILLIS = 1;
    /** Differences up to this are the path's, in milliseconds. */
    private static final long NETWORK_DELAY_MILLIS = 20;
    /** Weight of the newest caller in the share of those with the most patience: about the last ten count. */
    private static final double NEWEST_WEIGHT = 0.1;
    /**
     * Share of callers with the most patience from which it counts as common. Callers who come back once are half of all at the
     * most, which leaves 0.5 with a deviation of 0.11; patience drawn at random from some seconds gives 0.2 for a few callers
     * while the most is still being found, and then next to none.
     */
    private static final double MIN_COMMON_SHARE = 0.3;

    private double maxWaitMillis;
    private double shareAtMax;

    /** Notes a request's patience and returns how much of it was spent before, both in milliseconds; 0 where that can't be told. */
    public long estimateMillis(long patienceMillis) {
        if (patienceMillis == Long.MAX_VALUE) {
            return 0;
        }
        maxWaitMillis = Math.max(maxWaitMillis - DECAY_MILLIS, (double) patienceMillis);
        long less = Math.round(maxWaitMillis) - patienceMillis;
        boolean same = less <= NETWORK_DELAY_MILLIS;
        shareAtMax += NEWEST_WEIGHT * ((same ? 1 : 0) - shareAtMax);
        return same || shareAtMax < MIN_COMMON_SHARE ? 0 : less;
    }
}
