package org.quetzalseam.gateway.route;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * One generation's wait for its prompt's turn and then for decode memory: how long it is worth waiting, and what comes of it. Used on
 * the event loop only.
 */
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

        /** The prompt can't be read or nothing be booked in time, or there is no engine to book at. */
        void refused(String why);
    }

    private final RunContext context;
    private final String service;
    private final CallerDue due;
    private final long spentBefore;
    private final RunLog log;
    private final Outcome outcome;
    private final ReservationDesk desk;
    private @Nullable ReadingTurn turn;
    private @Nullable Reservation reservation;

    MemoryWait(RunContext context, String service, CallerDue due, long spentBefore, RunLog log, Outcome outcome) {
        this.context = context;
        this.service = service;
        this.due = due;
        this.spentBefore = spentBefore;
        this.log = log;
        this.outcome = outcome;
        this.desk = context.desk(service);
    }

    void start(TokenDemand demand) {
        ReadingTurn wanted = new ReadingTurn(demand.prompt(), due, log, new ReadingTurn.Outcome() {
            @Override
            public void begin(Optional<Endpoint> reader) {
                turn = null;
                double first = reader.map(engine -> desk.readers().firstEventMillis(engine, demand.prompt()))
                        .orElse(0.0);
                waitFor(demand, Math.round(due.now().inTimeMillis() - first), null);
            }

            @Override
            public void beginAt(Endpoint decoder) {
                waitFor(demand, Math.round(due.now().inTimeMillis()), decoder);
            }

            @Override
            public void refused() {
                turn = null;
                outcome.refused(PromptReading.NOT_BEGUN);
            }
        });
        turn = wanted;
        desk.turns().enter(wanted);
    }

    private void waitFor(TokenDemand demand, long inTime, @Nullable Endpoint only) {
        int tokens = desk.booking().tokens(demand);
        long now = context.now();
        long left = Math.round(due.now().leftMillis());
        long wait = Math.min(inTime > 0 ? inTime : LATE_WAIT_MILLIS, left);
        Reservation wanted = new Reservation(
                tokens,
                desk.booking().room(demand),
                desk.booking().cost(demand),
                now + TimeUnit.MILLISECONDS.toNanos(inTime),
                now + TimeUnit.MILLISECONDS.toNanos(wait),
                only,
                new Reservation.Outcome() {
                    @Override
                    public void granted(Endpoint engine, String id) {
                        reservation = null;
                        turn = null;
                        outcome.booked(new BookedMemory(engine, id, tokens, only != null));
                    }

                    @Override
                    public void refused(String why) {
                        notBooked(why);
                    }
                });
        reservation = wanted;
        desk.enter(wanted);
    }

    /** Where the one engine that was to read the prompt itself has no room, the prompt takes its turn among the others. */
    private void notBooked(String why) {
        Reservation wanted = reservation;
        reservation = null;
        if (wanted != null) {
            int engines = context.directory().usable(service, Stage.DECODE).size();
            log.notBooked(wanted, engines, spentBefore, why);
        }
        ReadingTurn inPlace = turn;
        if (inPlace != null) {
            desk.turns().enter(inPlace);
        } else {
            outcome.refused(why);
        }
    }

    /** Gives the wait up. Harmless when it is over. */
    void cancel() {
        ReadingTurn waiting = turn;
        if (waiting != null) {
            desk.turns().leave(waiting);
            turn = null;
        }
        Reservation wanted = reservation;
        if (wanted != null) {
            desk.leave(wanted);
            reservation = null;
        }
    }
}
