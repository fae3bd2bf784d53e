package org.quetzalseam.core.dispatch;

/** Spaces the callers that are asked to return. Not thread-safe. Times are monotonic nanoseconds. */
final class ReturnSchedule {
    /**
     * Part of the time left after which a caller returns at the latest. Callers follow a Retry-After of up to a third of their time left, of
     * which the way of the refusal takes a little.
     */
    private static final double HONOURED_PART = 0.3;

    private static final double NANOS_PER_SECOND = 1e9;

    private long nextAt;

    ReturnSchedule(long now) {
        nextAt = now;
    }

    /**
     * Returns the time after which a caller should return.
     *
     * @param expectedNanos expected time until the requests ahead of it are served
     * @param usefulNanos time left until the answer is of no use
     * @param perSecond rate at which callers that return can be served; 0 if it is unknown
     */
    long retryAfter(long expectedNanos, long usefulNanos, double perSecond, long now) {
        long most = (long) (Math.max(0, usefulNanos) * HONOURED_PART);
        long earliest = now + Math.min(expectedNanos, most);
        long told = Math.min(Math.max(earliest, nextAt), now + most);
        if (perSecond > 0) {
            nextAt = Math.min(told + (long) (NANOS_PER_SECOND / perSecond), now + most);
        }
        return told - now;
    }
}
