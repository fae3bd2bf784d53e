package org.quetzalseam.core.placement;

/**
 * Keeps an endpoint that fails again and again out of placement for a while, longer each time. Not thread-safe. Times are
 * nanoseconds of one monotonic clock.
 */
public final class Ejection {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final int MAX_DOUBLINGS = 5;

    private int failures;
    private int ejections;
    private long ejectedUntilNanos;
    private boolean ejected;

    /** Notes a success: the endpoint's record is clean again. */
    public void recordSuccess() {
        failures = 0;
        ejections = 0;
        ejected = false;
    }

    /** Notes a failure that was the endpoint's. */
    public void recordFailure(long now) {
        failures++;
        if (failures >= FAILURES_TO_EJECT) {
            ejectedUntilNanos = now + (FIRST_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS));
            ejections++;
            failures = 0;
            ejected = true;
        }
    }

    /** Returns whether the endpoint is to be left out now. */
    public boolean isEjected(long now) {
        return ejected && ejectedUntilNanos - now > 0;
    }
}
