package org.quetzalseam.gateway.route;

import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.protocol.RequestFacts;

/** What one generation teaches those that come after it: how long its parts took, and what was read in vain. Used on the event loop only. */
final class GenerationStatistics {
    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final BookingManager bookings;
    private final RunLog log;
    private long bookedAtMillis;
    private long prefilledAtMillis;
    private boolean prefilled;

    GenerationStatistics(RunContext context, Exchange exchange, RouteRule route, BookingManager bookings, RunLog log) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.bookings = bookings;
        this.log = log;
    }

    /** Notes that memory is booked and the work begins. */
    void recordBooked() {
        bookedAtMillis = exchange.ageMillis();
    }

    /** Notes that a prefill engine has read the prompt. */
    void recordPrefilled() {
        prefilled = true;
        prefilledAtMillis = exchange.ageMillis();
    }

    /**
     * Notes a whole answer. The wait for memory isn't counted in its time: whether the rest still fits is asked again after it. A
     * stream that goes on from an earlier one is shorter than its caller's estimate says, so nothing is learnt from it.
     */
    void recordAnswered(long events) {
        RequestFacts facts = exchange.facts();
        bookings.recordEnded(exchange.ageMillis(), facts, events);
        if (facts.resumesAfter() == null) {
            context.answerTime(route).ended(facts.estimate(), exchange.ageMillis() - bookedAtMillis);
        }
        prefilled = false;
    }

    /** Notes that whatever has been read of the prompt was read for nothing. */
    void recordWastedPrefill() {
        TokenDemand demand = exchange.facts().demand();
        if (prefilled && demand != null) {
            log.prefillWasted(demand.prompt());
        }
        prefilled = false;
    }

    /** Notes the pace at which its caller got events, if any. */
    void recordStreamPace(StreamPace pace, long earlierAttemptsMillis) {
        if (pace.pieces() > 0) {
            log.streamed(pace, earlierAttemptsMillis);
            bookings.prefillEngines().recordFirstEvent(prefilledAtMillis, pace.firstMillis());
        }
    }
}
