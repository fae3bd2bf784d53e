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
            FirstEventDeadline deadline,
            long earlierAttemptsMillis,
            RunLog log,
            Listener listener) {
        this.context = context;
        this.service = service;
        this.deadline = deadline;
        this.earlierAttemptsMillis = earlierAttemptsMillis;
        this.log = log;
        this.listener = listener;
        this.bookings = context.bookings(service);
    }

    void start(TokenDemand demand) {
        PrefillRequest newRequest = new PrefillRequest(demand.prompt(), deadline, log, new PrefillRequest.Listener() {
            @Override
            public void beginPrefill(Optional<Endpoint> reader) {
                prefillRequest = null;
                double first = reader.map(engine -> bookings.prefillEngines().firstEventMillis(engine, demand.prompt()))
                        .orElse(0.0);
                requestBooking(demand, Math.round(deadline.remaining().inTimeMillis() - first), null);
            }

            @Override
            public void beginInPlace(Endpoint decoder) {
                requestBooking(demand, Math.round(deadline.remaining().inTimeMillis()), decoder);
            }

            @Override
            public void refused() {
                prefillRequest = null;
                listener.refused(PrefillRun.NOT_BEGUN_REASON);
            }
        });
        prefillRequest = newRequest;
        bookings.prefillScheduler().submit(newRequest);
    }

    private void requestBooking(TokenDemand demand, long inTimeMillis, @Nullable Endpoint requiredEngine) {
        int tokens = bookings.booking().tokens(demand);
        long now = context.now();
        long remainingMillis = Math.round(deadline.remaining().leftMillis());
        long waitMillis = Math.min(inTimeMillis > 0 ? inTimeMillis : LATE_WAIT_MILLIS, remainingMillis);
        BookingRequest newRequest = new BookingRequest(
                tokens,
                bookings.booking().room(demand),
                bookings.booking().cost(demand),
                now + TimeUnit.MILLISECONDS.toNanos(inTimeMillis),
                now + TimeUnit.MILLISECONDS.toNanos(waitMillis),
                requiredEngine,
                new BookingRequest.Listener() {
                    @Override
                    public void granted(Endpoint engine, String id) {
                        bookingRequest = null;
                        prefillRequest = null;
                        listener.booked(new BookedMemory(engine, id, tokens, requiredEngine != null));
                    }

                    @Override
                    public void refused(String why) {
                        bookingRefused(why);
                    }
                });
        bookingRequest = newRequest;
        bookings.submit(newRequest);
    }

    /** Where the one engine that was to read the prompt itself has no room, the prompt takes its turn among the others. */
    private void bookingRefused(String why) {
        BookingRequest refusedRequest = bookingRequest;
        bookingRequest = null;
        if (refusedRequest != null) {
            int engines = context.directory().usable(service, Stage.DECODE).size();
            log.notBooked(refusedRequest, engines, earlierAttemptsMillis, why);
        }
        PrefillRequest triedInPlace = prefillRequest;
        if (triedInPlace != null) {
            bookings.prefillScheduler().submit(triedInPlace);
        } else {
            listener.refused(why);
        }
    }

    /** Gives the wait up. Harmless when it is over. */
    void cancel() {
        PrefillRequest queuedPrefill = prefillRequest;
        if (queuedPrefill != null) {
            bookings.prefillScheduler().remove(queuedPrefill);
            prefillRequest = null;
        }
        BookingRequest queuedBooking = bookingRequest;
        if (queuedBooking != null) {
            bookings.remove(queuedBooking);
            bookingRequest = null;
        }
    }
}
