package org.quetzalseam.gateway.route;

import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.protocol.RequestFacts;

/**
 * Records measurements of one generation for estimates and metrics: how long its phases took, and wasted prefill. Used on
 * the event loop only.
 */
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

    /** Records that memory is booked and the work begins. */
    void recordBooked() {
        bookedAtMillis = exchange.ageMillis();
    }

    /** Records that a prefill engine has prefilled the prompt. */
    void recordPrefilled() {
        prefilled = true;
        prefilledAtMillis = exchange.ageMillis();
    }

    /**
     * Records a complete answer. Its time does not include the wait for memory, because whether the rest still fits is
     * decided again after that wait. A resumed stream is shorter than its caller's estimate, so the answer time is not
     * updated from it.
     */
    void recordAnswered(long events) {
        RequestFacts facts = exchange.facts();
        bookings.recordEnded(exchange.ageMillis(), facts, events);
        if (facts.resumesAfter() == null) {
            context.answerTime(route).recordAnswer(facts.estimate(), exchange.ageMillis() - bookedAtMillis);
        }
        prefilled = false;
    }

    /** Records the prefill of the prompt as wasted, if it was prefilled and has led to no complete answer. */
    void recordWastedPrefill() {
        TokenDemand demand = exchange.facts().demand();
        if (prefilled && demand != null) {
            log.prefillWasted(demand.prompt());
        }
        prefilled = false;
    }

    /** Records the pace at which the caller received events, if any. */
    void recordStreamPace(StreamPace pace, long earlierAttemptsMillis) {
        if (pace.pieces() > 0) {
            log.streamed(pace, earlierAttemptsMillis);
            bookings.prefillEngines().recordFirstEvent(prefilledAtMillis, pace.firstMillis());
        }
    }
}
