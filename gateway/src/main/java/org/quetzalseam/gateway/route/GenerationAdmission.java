package org.quetzalseam.gateway.route;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.generation.TokenDemand;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * Admits one generation: waits until its prompt may be prefilled, then until decode memory is booked, each only as long as
 * the wait is of use. Used on the event loop only.
 */
final class GenerationAdmission {
    /**
     * How long a generation that already misses its objective may wait for memory, in milliseconds: long enough for memory
     * that is just being freed, and too short for late generations to take much memory from those at other entries that
     * could be in time.
     */
    private static final long LATE_WAIT_MILLIS = 1_000;

    /** Receives the result of the admission. */
    interface Listener {
        /** Called when memory is booked. */
        void booked(BookedMemory memory);

        /** Called when the prompt cannot be prefilled or no memory be booked in time, or when there is no engine to book at. */
        void refused(String why);
    }

    private final RunContext context;
    private final String service;
    private final FirstEventDeadline deadline;
    private final long earlierAttemptsMillis;
    private final RunLog log;
    private final @Nullable StreamOrigin origin;
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
            @Nullable StreamOrigin origin,
            Listener listener) {
        this.context = context;
        this.service = service;
        this.deadline = deadline;
        this.earlierAttemptsMillis = earlierAttemptsMillis;
        this.log = log;
        this.origin = origin;
        this.listener = listener;
        this.bookings = context.bookings(service);
    }

    void start(TokenDemand demand) {
        PrefillRequest newRequest =
                new PrefillRequest(demand.prompt(), deadline, log, origin, new PrefillRequest.Listener() {
                    @Override
                    public void beginPrefill(Optional<Endpoint> prefillEngine) {
                        prefillRequest = null;
                        double firstEventMillis = prefillEngine
                                .map(engine -> bookings.prefillEngines().firstEventMillis(engine, demand.prompt()))
                                .orElse(0.0);
                        requestBooking(
                                demand,
                                Math.round(deadline.remaining().untilObjectiveMillis() - firstEventMillis),
                                null);
                    }

                    @Override
                    public void beginInPlace(Endpoint decodeEngine) {
                        requestBooking(demand, Math.round(deadline.remaining().untilObjectiveMillis()), decodeEngine);
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
        int tokens = bookings.booking().bookedTokens(demand);
        long now = context.now();
        long remainingMillis = Math.round(deadline.remaining().untilAbandonedMillis());
        long waitMillis = Math.min(inTimeMillis > 0 ? inTimeMillis : LATE_WAIT_MILLIS, remainingMillis);
        BookingRequest newRequest = new BookingRequest(
                tokens,
                bookings.booking().headroomTokens(demand),
                bookings.booking().expectedCost(demand),
                now + TimeUnit.MILLISECONDS.toNanos(inTimeMillis),
                now + TimeUnit.MILLISECONDS.toNanos(waitMillis),
                requiredEngine,
                origin,
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

    /** If the booking was for a decode engine that was to prefill the prompt itself, queues the prompt for a prefill engine. */
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

    /** Cancels the admission. Does nothing after its end. */
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
