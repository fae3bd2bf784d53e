package org.quetzalseam.core.limits;

/**
 * Estimates how long a caller has waited in earlier attempts of a request, from the time that it keeps waiting. Not
 * thread-safe.
 *
 * <p>Where all callers of a route begin with the same timeout, the longest recent one is that of a first attempt, and a
 * caller with less time left is retrying. Where they begin with different timeouts, less time left means nothing, and
 * every request counts as a first attempt: a first attempt that is mistaken for a later one counts as late before it
 * has begun, and is served after others or not at all.
 */
public final class EarlierWaitEstimator {
    /**
     * Decay of the maximum with each request, in milliseconds, so that a shorter timeout of all callers is detected in
     * time.
     */
    private static final double DECAY_MILLIS = 1;
    /** Differences up to this are due to the network, in milliseconds. */
    private static final long NETWORK_DELAY_MILLIS = 20;
    /** Weight of the newest request in the share of requests at the maximum: about the last ten count. */
    private static final double NEWEST_WEIGHT = 0.1;
    /**
     * Share of requests at the maximum from which it counts as the common timeout. Callers that retry once make up half
     * of all requests at most, which leaves a share of 0.5 with a standard deviation of 0.11; timeouts drawn at random
     * from a range of some seconds give 0.2 for a few requests while the maximum is still being found, and then almost
     * 0.
     */
    private static final double MIN_COMMON_SHARE = 0.3;

    private double maxWaitMillis;
    private double shareAtMax;

    /**
     * Records how long the caller of a request keeps waiting, and estimates how long it has waited in earlier attempts.
     *
     * @param remainingMillis how long the caller keeps waiting; {@link Long#MAX_VALUE} where it states no deadline
     * @return the time spent in earlier attempts, in milliseconds; 0 for a first attempt or where it cannot be
     *     estimated
     */
    public long estimateMillis(long remainingMillis) {
        if (remainingMillis == Long.MAX_VALUE) {
            return 0;
        }
        maxWaitMillis = Math.max(maxWaitMillis - DECAY_MILLIS, (double) remainingMillis);
        long lessMillis = Math.round(maxWaitMillis) - remainingMillis;
        boolean isAtMax = lessMillis <= NETWORK_DELAY_MILLIS;
        shareAtMax += NEWEST_WEIGHT * ((isAtMax ? 1 : 0) - shareAtMax);
        return isAtMax || shareAtMax < MIN_COMMON_SHARE ? 0 : lessMillis;
    }
}
