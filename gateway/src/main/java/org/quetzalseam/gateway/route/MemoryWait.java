package org.quetzalseam.gateway.route;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.ReadingPool;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** One generation's wait for decode memory: how long it is worth waiting, and what comes of it. Used on the event loop only. */
final class MemoryWait {
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
    private final String service;
    private final ForwardedRequest forwarded;
    private final CallerDue due;
    private final long spentBefore;
    private final RunLog log;
    private final Outcome outcome;
    private final ReservationDesk desk;
    private @Nullable Reservation reservation;

    MemoryWait(
            RunContext context,
            String service,
            ForwardedRequest forwarded,
            CallerDue due,
            long spentBefore,
            RunLog log,
            Outcome outcome) {
        this.context = context;
        this.service = service;
        this.forwarded = forwarded;
        this.due = due;
        this.spentBefore = spentBefore;
        this.log = log;
        this.outcome = outcome;
        this.desk = context.desk(service);
    }

    void start(TokenDemand demand) {
        ReadingPool.Due left = due.now();
        PromptReaders readers = desk.readers();
        Optional<Endpoint> reader =
                readers.best(demand.prompt(), List.of(), context.settings().zone());
        if (reader.isPresent()) {
            ReadingPool.Verdict verdict = readers.judge(reader.get(), demand.prompt(), left);
            if (verdict != ReadingPool.Verdict.BEGIN) {
                log.promptNotBegun(reader.get(), verdict, readers.inputs(reader.get(), demand.prompt(), left));
                outcome.refused(PromptReading.NOT_BEGUN);
                return;
            }
        }
        double first = reader.map(engine -> readers.firstEventMillis(engine, demand.prompt()))
                .orElse(0.0);
        waitFor(demand, Math.round(left.inTimeMillis() - first));
    }

    private void waitFor(TokenDemand demand, long inTime) {
        int tokens = desk.booking().tokens(demand);
        long now = context.now();
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
