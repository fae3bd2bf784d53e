package org.quetzalseam.gateway.route;

import org.quetzalseam.core.generation.ReadingPool;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;

/** How long a generation's caller may still wait for the first event. Used on the event loop only. */
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

    /** Returns the longest pause between events that is in time, in milliseconds; 0 where there is no such objective. */
    double maxPauseMillis() {
        return (double) route.pauseMillis();
    }

    /** Returns what is left at this moment: an answer whose first event comes after its caller has given up is of no use. */
    ReadingPool.Due remaining() {
        double toObjective = (double) route.targetMillis() - exchange.ageMillis() - earlierAttemptsMillis;
        long toTimeout = Math.min(forwarded.remainingMillis(), route.silenceMillis() - exchange.ageMillis());
        return new ReadingPool.Due(toObjective, (double) toTimeout, (double) route.targetMillis());
    }
}
