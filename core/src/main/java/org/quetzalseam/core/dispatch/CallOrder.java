package org.quetzalseam.core.dispatch;

import java.util.List;

/** Chooses among requests of one priority that can still be in time. */
interface CallOrder {
    /**
     * Returns the request to serve next.
     *
     * @param calls the requests, in the order in which they came; not empty
     * @param answersPerSecond rate at which requests are served; 0 if it is unknown
     * @param responseNanos expected response time
     */
    WaitingCall next(List<WaitingCall> calls, double answersPerSecond, long responseNanos, long now);
}
