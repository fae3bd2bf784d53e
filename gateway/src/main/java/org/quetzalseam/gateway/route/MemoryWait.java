package org.quetzalseam.gateway.route;

import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** One generation's wait for decode memory: how long it is worth waiting, and what comes of it. Used on the event loop only. */
final class MemoryWait {
    /** Time from a booking to the first event, in milliseconds, that a wait for memory must leave within the objective. */
    private static final long READING_MILLIS = 250;
    /**
     * How long a caller who is late already may wait for memory, in milliseconds: long enough for a place that is just getting
     * free, and too short for the late to take many places from those who could be in time at other entries.
     */
    private static final long LATE_WAIT_MILLIS = 1_000;

    /** What becomes of the wait. */
    interface Outcome {
        /** Memory is booked. */
        void booked(BookedMemory memory);

        /** Nothing could be booked in time, or there is no engine to book at. */
        void refused(String why);
    }

    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final String service;
    private final ForwardedRequest forwarded;
    private final long spentBefore;
    private final RunLog log;
    private final Outcome outcome;
    private final ReservationDesk desk;
    private @Nullable Reservation reservation;

    MemoryWait(
            RunContext context,
            Exchange exchange,
            RouteRule route,
            String service,
            ForwardedRequest forwarded,
            long spentBefore,
            RunLog log,
            Outcome outcome) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.forwarded = forwarded;
        this.spentBefore = spentBefore;
        this.log = log;
        this.outcome = outcome;
        this.desk = context.desk(service);
    }

    void start(TokenDemand demand) {
        int tokens = desk.booking().tokens(demand);
        long now = context.now();
        long inTime = route.targetMillis() - READING_MILLIS - exchange.ageMillis() - spentBefore;
        long wait = Math.min(inTime > 0 ? inTime : LATE_WAIT_MILLIS, forwarded.leftMillis());
        Reservation wanted = new Reservation(
                tokens,
                desk.booking().room(demand),
                desk.booking().cost(demand),
                now + TimeUnit.MILLISECONDS.toNanos(inTime),
                now + TimeUnit.MILLISECONDS.toNanos(wait),
                new Reservation.Outcome() {
                    @Override
                    public void granted(Endpoint engine, String id) {
                        reservation = null;
                        outcome.booked(new BookedMemory(engine, id, tokens));
                    }

                    @Override
                    public void refused(String why) {
                        notBooked(why);
                    }
                });
        reservation = wanted;
        desk.enter(wanted);
    }

    private void notBooked(String why) {
        Reservation wanted = reservation;
        reservation = null;
        if (wanted != null) {
            int engines = context.directory().usable(service, Stage.DECODE).size();
            log.notBooked(wanted, engines, spentBefore, why);
        }
        outcome.refused(why);
    }

    /** Gives the wait up. Harmless when it is over. */
    void cancel() {
        Reservation wanted = reservation;
        if (wanted != null) {
            desk.leave(wanted);
            reservation = null;
        }
    }
}
