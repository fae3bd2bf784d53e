package org.quetzalseam.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Estimates how many requests an endpoint runs at once, from the number it has and from how much longer it takes than when it has few.
 * A slow phase does not lower the estimate, as it lengthens the work and not the queue. Not thread-safe.
 */
final class SlotEstimate {
    /** Time after which a value is forgotten, in nanoseconds: longer than a slow phase, short enough to follow a release. */
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

    private long startedAt;
    private double quickest = Double.MAX_VALUE;
    private double previousQuickest = Double.MAX_VALUE;
    private double slots = 1;
    private double previousSlots = 1;

    /** Records the mean response time at a number of requests that the endpoint has. */
    void add(double meanNanos, double requests, long now) {
        if (now - startedAt > PERIOD_NANOS) {
            startedAt = now;
            previousQuickest = quickest;
            quickest = meanNanos;
            previousSlots = slots;
            slots = 1;
        }
        quickest = Math.min(quickest, meanNanos);
        slots = Math.max(slots, requests * quickestNanos() / meanNanos);
    }

    /** Returns the shortest mean response time of the recent past. */
    double quickestNanos() {
        return Math.min(quickest, previousQuickest);
    }

    double slots() {
        return Math.max(slots, previousSlots);
    }

    /** Forgets the estimate, after an endpoint has shown that it has less room. */
    void forget() {
        slots = 1;
        previousSlots = 1;
    }
}
