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
final class GenerationAdmission {
    /**
     * How long a caller who is late already may wait for memory, in milliseconds: long enough for a place that is just getting
     * free, and too short for the late to take many places from those who could be in time at other entries.
     */
    private static final long LATE_WAIT_MILLIS = 1_000;

    /** What becomes of the wait. */
    interface Listener {
        /** Memory is booked. */
        void booked(BookedMemory memory);

        /** The prompt can't be read or nothing be booked in time, or there is no engine to book at. */
        void refused(String why);
    }

    private final RunContext context;
    private final String service;
    private final FirstEventDeadline deadline;
    private final long earlierAttemptsMillis;
    private final RunLog log;
    private final Listener listener;
    private final BookingManager bookings;
    private @Nullable PrefillRequest prefillRequest;
    private @Nullable BookingRequest bookingRequest;

    GenerationAdmission(
            RunContext context,
            String service,
            FirstEventDeadline due,
            long spentBefore,
            RunLog log,
            Listener outcome) {
        this.context = context;
        this.service = service;
        this.deadline = due;
        this.earlierAttemptsMillis = spentBefore;
        this.log = log;
        this.listener = outcome;
        this.bookings = context.bookings(service);
    }

    void start(TokenDemand demand) {
        PrefillRequest wanted = new PrefillRequest(demand.prompt(), deadline, log, new PrefillRequest.Listener() {
            @Override
            public void beginPrefill(Optional<Endpoint> reader) {
                prefillRequest = null;
                double first = reader.map(engine -> bookings.prefillEngines().firstEventMillis(engine, demand.prompt()))
                        .orElse(0.0);
                requestBooking(demand, Math.round(deadline.remaining().untilObjectiveMillis() - first), null);
            }

            @Override
            public void beginInPlace(Endpoint decoder) {
                requestBooking(demand, Math.round(deadline.remaining().untilObjectiveMillis()), decoder);
            }

            @Override
            public void refused() {
                prefillRequest = null;
                listener.refused(PrefillRun.NOT_BEGUN_REASON);
            }
        });
        prefillRequest = wanted;
        bookings.prefillScheduler().submit(wanted);
    }

    private void requestBooking(TokenDemand demand, long inTime, @Nullable Endpoint only) {
        int tokens = bookings.booking().bookedTokens(demand);
        long now = context.now();
        long left = Math.round(deadline.remaining().untilAbandonedMillis());
        long wait = Math.min(inTime > 0 ? inTime : LATE_WAIT_MILLIS, left);
        BookingRequest wanted = new BookingRequest(
                tokens,
                bookings.booking().headroomTokens(demand),
                bookings.booking().expectedCost(demand),
                now + TimeUnit.MILLISECONDS.toNanos(inTime),
                now + TimeUnit.MILLISECONDS.toNanos(wait),
                only,
                new BookingRequest.Listener() {
                    @Override
                    public void granted(Endpoint engine, String id) {
                        bookingRequest = null;
                        prefillRequest = null;
                        listener.booked(new BookedMemory(engine, id, tokens, only != null));
                    }

                    @Override
                    public void refused(String why) {
                        bookingRefused(why);
                    }
                });
        bookingRequest = wanted;
        bookings.submit(wanted);
    }

    /** Where the one engine that was to read the prompt itself has no room, the prompt takes its turn among the others. */
    private void bookingRefused(String why) {
        BookingRequest wanted = bookingRequest;
        bookingRequest = null;
        if (wanted != null) {
            int engines = context.directory().usable(service, Stage.DECODE).size();
            log.notBooked(wanted, engines, earlierAttemptsMillis, why);
        }
        PrefillRequest inPlace = prefillRequest;
        if (inPlace != null) {
            bookings.prefillScheduler().submit(inPlace);
        } else {
            listener.refused(why);
        }
    }

    /** Gives the wait up. Harmless when it is over. */
    void cancel() {
        PrefillRequest waiting = prefillRequest;
        if (waiting != null) {
            bookings.prefillScheduler().remove(waiting);
            prefillRequest = null;
        }
        BookingRequest wanted = bookingRequest;
        if (wanted != null) {
            bookings.remove(wanted);
            bookingRequest = null;
        }
    }
}
