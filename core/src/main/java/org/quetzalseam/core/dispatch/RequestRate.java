package org.quetzalseam.core.dispatch;

import java.util.concurrent.TimeUnit;

/** The recent rate of requests. Not thread-safe. */
final class RequestRate {
    /** Time over which it is taken, in nanoseconds: shorter than a wave of demand, longer than the gaps between requests. */
    private static final double PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final double NANOS_PER_SECOND = 1e9;

    private double count;
    private long countedAt;

    RequestRate(long now) {
        countedAt = now;
    }

    void add(long now) {
        decay(now);
        count++;
    }

    double perSecond(long now) {
        decay(now);
        return count * NANOS_PER_SECOND / PERIOD_NANOS;
    }

    private void decay(long now) {
        count *= Math.exp((countedAt - now) / PERIOD_NANOS);
        countedAt = now;
    }
}
