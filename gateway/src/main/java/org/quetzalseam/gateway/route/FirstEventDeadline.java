package org.quetzalseam.gateway.route;

import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;

/** The time that is left until a generation's first event must reach its caller. Used on the event loop only. */
final class FirstEventDeadline {
    private final Exchange exchange;
    private final RouteRule route;
    private final ForwardedRequest forwarded;
    private final long earlierAttemptsMillis;

    FirstEventDeadline(Exchange exchange, RouteRule route, ForwardedRequest forwarded, long earlierAttemptsMillis) {
        this.exchange = exchange;
        this.route = route;
        this.forwarded = forwarded;
        this.earlierAttemptsMillis = earlierAttemptsMillis;
    }

    /** Returns the route of the request. */
    RouteRule route() {
        return route;
    }

    /** Returns the longest pause between events that meets the objective, in milliseconds; 0 if there is no such objective. */
    double maxPauseMillis() {
        return (double) route.targetGapMillis();
    }

    /** Returns the time left at this moment. An answer whose first event arrives after its caller has given up is of no use. */
    PrefillPlanner.Deadline remaining() {
        double toObjective = (double) route.targetLatencyMillis() - exchange.ageMillis() - earlierAttemptsMillis;
        long toTimeout = Math.min(forwarded.remainingMillis(), route.idleTimeoutMillis() - exchange.ageMillis());
        return new PrefillPlanner.Deadline(toObjective, (double) toTimeout, (double) route.targetLatencyMillis());
    }
}
