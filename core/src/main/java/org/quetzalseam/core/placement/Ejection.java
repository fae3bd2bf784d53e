package org.quetzalseam.core.placement;

/**
 * Excludes an endpoint from placement after repeated failures, for twice as long each time up to a limit. Not
 * thread-safe. Times are nanoseconds of one monotonic clock.
 */
public final class Ejection {
    private static final int FAILURES_TO_EJECT = 3;
    private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
    private static final int MAX_DOUBLINGS = 5;

    private int failures;
    private int ejections;
    private long ejectedUntilNanos;
    private boolean ejected;

    /** Records a success, which ends the ejection and resets its duration. */
    public void recordSuccess() {
        failures = 0;
        ejections = 0;
        ejected = false;
    }

    /** Records a failure caused by the endpoint. */
    public void recordFailure(long now) {
        failures++;
        if (failures >= FAILURES_TO_EJECT) {
            ejectedUntilNanos = now + (FIRST_EJECTION_NANOS << Math.min(ejections, MAX_DOUBLINGS));
            ejections++;
            failures = 0;
            ejected = true;
        }
    }

    /** Returns whether the endpoint is excluded from placement now. */
    public boolean isEjected(long now) {
        return ejected && ejectedUntilNanos - now > 0;
    }
}
