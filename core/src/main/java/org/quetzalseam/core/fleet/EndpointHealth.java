package org.quetzalseam.core.fleet;

/**
 * Estimates the health of an endpoint from the results of its requests alone. Not thread-safe.
 *
 * <p>The failure rate and the response time are exponentially weighted averages. The failure rate also decays with
 * time, so that a suspect endpoint is used again without a probe.
 */
public final class EndpointHealth {
    /** Weight of the newest result, so that about the last ten results count. */
    private static final double NEWEST_WEIGHT = 0.1;
    /** Half-life of the failure rate of an idle endpoint, in nanoseconds: 2 seconds, the time of a typical restart. */
    private static final double HALF_LIFE_NANOS = 2e9;
    /**
     * Response time assumed before the first answer, in milliseconds. Any small value works, because it fades within
     * ten answers.
     */
    private static final double INITIAL_RESPONSE_MILLIS = 10;
    /**
     * Failure rate from which an endpoint is suspect, that is, used only when no better one is available. Three
     * failures at once reach it.
     */
    private static final double SUSPECT_RATE = 0.25;
    /**
     * Consecutive failures that make an endpoint suspect whatever the time between them, because timeouts of infrequent
     * requests are seconds apart.
     */
    private static final int SUSPECT_CONSECUTIVE_FAILURES = 3;
    /** Time after the last of these failures until it is used again, in nanoseconds: the time of a typical restart. */
    private static final long RETRY_DELAY_NANOS = 2_000_000_000L;

    private double failureRate;
    private double responseMillis = INITIAL_RESPONSE_MILLIS;
    private long updatedNanos;
    private int consecutiveFailures;
    private long lastFailureNanos;

    /** Records an answer and its response time in milliseconds. */
    public void recordSuccess(long now, double elapsedMillis) {
        decay(now);
        consecutiveFailures = 0;
        failureRate *= 1 - NEWEST_WEIGHT;
        responseMillis += NEWEST_WEIGHT * (elapsedMillis - responseMillis);
    }

    /** Records a failure caused by the endpoint. */
    public void recordFailure(long now) {
        decay(now);
        consecutiveFailures++;
        lastFailureNanos = now;
        failureRate += NEWEST_WEIGHT * (1 - failureRate);
    }

    /** Returns the weighted share of recent requests that failed, from 0 to 1. */
    public double failureRate(long now) {
        decay(now);
        return failureRate;
    }

    /** Returns whether the endpoint fails too often to be used while a better one is available. */
    public boolean isSuspect(long now) {
        boolean unresponsive =
                consecutiveFailures >= SUSPECT_CONSECUTIVE_FAILURES && now - lastFailureNanos < RETRY_DELAY_NANOS;
        return unresponsive || failureRate(now) >= SUSPECT_RATE;
    }

    /** Returns the weighted mean response time, in milliseconds. */
    public double responseMillis() {
        return responseMillis;
    }

    private void decay(long now) {
        if (updatedNanos != 0 && now > updatedNanos) {
            failureRate *= Math.pow(0.5, (now - updatedNanos) / HALF_LIFE_NANOS);
        }
        updatedNanos = now;
    }
}
