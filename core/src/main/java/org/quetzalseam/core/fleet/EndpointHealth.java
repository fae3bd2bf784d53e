package org.quetzalseam.core.fleet;

/**
 * How well an endpoint has answered lately, from its answers alone. Not thread-safe.
 *
 * <p>The failure rate and the time to answer are exponentially weighted; the failure rate also fades with time, so that an
 * endpoint that was left out is tried again without a probe.
 */
public final class EndpointHealth {
    /** Weight of the newest answer: about the last ten count. */
    private static final double NEWEST_WEIGHT = 0.1;
    /** Nanoseconds in which an idle endpoint's failure rate halves: two seconds, a typical restart. */
    private static final double HALF_LIFE_NANOS = 2e9;
    /** Assumed time of the first answer, in milliseconds; any small figure does, as it fades within ten answers. */
    private static final double INITIAL_RESPONSE_MILLIS = 10;
    /** Failure rate from which an endpoint is used only when no better one is there: three failures at once reach it. */
    private static final double SUSPECT_RATE = 0.25;
    /** Failures in a row that make it suspect however far apart they are: time-outs of few requests come seconds apart. */
    private static final int SUSPECT_CONSECUTIVE_FAILURES = 3;
    /** How long after the last of them it is tried again, in nanoseconds: a typical restart. */
    private static final long RETRY_DELAY_NANOS = 2_000_000_000L;

    private double failureRate;
    private double responseMillis = INITIAL_RESPONSE_MILLIS;
    private long updatedNanos;
    private int consecutiveFailures;
    private long lastFailureNanos;

    /** Notes an answer and how long it took. */
    public void recordSuccess(long now, double tookMillis) {
        decay(now);
        consecutiveFailures = 0;
        failureRate *= 1 - NEWEST_WEIGHT;
        responseMillis += NEWEST_WEIGHT * (tookMillis - responseMillis);
    }

    /** Notes a failure that was the endpoint's. */
    public void recordFailure(long now) {
        decay(now);
        consecutiveFailures++;
        lastFailureNanos = now;
        failureRate += NEWEST_WEIGHT * (1 - failureRate);
    }

    /** Returns the share of its latest answers that failed, from 0 to 1. */
    public double failureRate(long now) {
        decay(now);
        return failureRate;
    }

    /** Returns whether it fails too often to be used while a better one is there. */
    public boolean isSuspect(long now) {
        boolean silent =
                consecutiveFailures >= SUSPECT_CONSECUTIVE_FAILURES && now - lastFailureNanos < RETRY_DELAY_NANOS;
        return silent || failureRate(now) >= SUSPECT_RATE;
    }

    /** Returns the typical time to an answer, in milliseconds. */
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
