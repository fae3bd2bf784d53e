package org.quetzalseam.core.dispatch;

/**
 * Learns from answers how many requests one endpoint should have at a time. Not thread-safe. Times are monotonic nanoseconds.
 */
interface LimitControl {
    /** Returns the number of requests to have at the endpoint, at least 1. */
    int limit();

    /** Returns the number of requests that the endpoint is expected to run at once, at least 1 and at most the limit. */
    int running();

    /** Returns the mean response time, in nanoseconds; 0 if the endpoint has not answered yet. */
    long meanNanos();

    /**
     * Records an answer.
     *
     * @param objectiveNanos shortest objective in use
     * @param full whether the endpoint had as many requests as the limit allows
     */
    void answered(long responseNanos, long objectiveNanos, boolean full, long now);

    /** Records that the endpoint has refused a request for lack of room. */
    void rejected(int inUse, long now);

    /** Starts again from the smallest limit, after the endpoint has failed. */
    void failed();
}
