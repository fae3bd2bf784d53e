package org.quetzalseam.gateway.route;

import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.protocol.RequestFacts;

/** What one generation teaches those that come after it: how long its parts took, and what was read in vain. Used on the event loop only. */
final class GenerationLessons {
    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final ReservationDesk desk;
    private final RunLog log;
    private long bookedAtMillis;
    private long readAtMillis;
    private boolean promptRead;

    GenerationLessons(RunContext context, Exchange exchange, RouteRule route, ReservationDesk desk, RunLog log) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.desk = desk;
        this.log = log;
    }

    /** Notes that memory is booked and the work begins. */
    void begun() {
        bookedAtMillis = exchange.ageMillis();
    }

    /** Notes that a prefill engine has read the prompt. */
    void promptRead() {
        promptRead = true;
        readAtMillis = exchange.ageMillis();
    }

    /**
     * Notes a whole answer. The wait for memory isn't counted in its time: whether the rest still fits is asked again after it. A
     * stream that goes on from an earlier one is shorter than its caller's estimate says, so nothing is learnt from it.
     */
    void answered(long events) {
        RequestFacts facts = exchange.facts();
        desk.ended(exchange.ageMillis(), facts, events);
        if (facts.resumesAfter() == null) {
            context.answerTime(route).ended(facts.estimate(), exchange.ageMillis() - bookedAtMillis);
        }
        promptRead = false;
    }

    /** Notes that whatever has been read of the prompt was read for nothing. */
    void inVain() {
        TokenDemand demand = exchange.facts().demand();
        if (promptRead && demand != null) {
            log.readInVain(demand.prompt());
        }
        promptRead = false;
    }

    /** Notes the pace at which its caller got events, if any. */
    void streamed(StreamPace pace, long spentBefore) {
        if (pace.pieces() > 0) {
            log.streamed(pace, spentBefore);
            desk.readers().firstEvent(readAtMillis, pace.firstMillis());
        }
    }
}
