package org.quetzalseam.gateway.route;

import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;

/** How long a generation's caller may still wait for the first event. Used on the event loop only. */
final class FirstEventDeadline {
    private final Exchange exchange;
    private final RouteRule route;
    private final ForwardedRequest forwarded;
    private final long earlierAttemptsMillis;

    FirstEventDeadline(Exchange exchange, RouteRule route, ForwardedRequest forwarded, long spentBefore) {
        this.exchange = exchange;
        this.route = route;
        this.forwarded = forwarded;
        this.earlierAttemptsMillis = spentBefore;
    }

    /** Returns the longest pause between events that is in time, in milliseconds; 0 where there is no such objective. */
    double maxPauseMillis() {
        return (double) route.targetGapMillis();
    }

    /** Returns what is left at this moment: an answer whose first event comes after its caller has given up is of no use. */
    PrefillPlanner.Deadline remaining() {
        double inTime = (double) route.targetLatencyMillis() - exchange.ageMillis() - earlierAttemptsMillis;
        long left = Math.min(forwarded.remainingMillis(), route.idleTimeoutMillis() - exchange.ageMillis());
        return new PrefillPlanner.Deadline(inTime, (double) left, (double) route.targetLatencyMillis());
    }
}
