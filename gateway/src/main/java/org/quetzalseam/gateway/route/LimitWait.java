package org.quetzalseam.gateway.route;

import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;

/** Decides how long a request waits for its turn at an endpoint that states a limit. Stateless. */
final class LimitWait {
    /** Part of the time left until the latency objective that is spent on waiting; the rest is for the answer. */
    private static final double OBJECTIVE_SHARE = 2.0 / 3;
    /** Longest wait of a request that misses its objective in any case, in milliseconds. */
    private static final long LATE_WAIT_MILLIS = 100;

    private LimitWait() {}

    /** Returns the longest wait in milliseconds. */
    static long maxMillis(Exchange exchange, RouteRule route, ForwardedRequest forwarded) {
        long inTimeMillis = (long) ((route.targetLatencyMillis() - exchange.ageMillis()) * OBJECTIVE_SHARE);
        return Math.max(0, Math.min(Math.max(LATE_WAIT_MILLIS, inTimeMillis), forwarded.remainingMillis() / 2));
    }
}
