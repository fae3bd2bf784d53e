package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** A generation's wait for decode memory at a {@link BookingManager}. Used on the event loop only. */
final class BookingRequest {
    /** What becomes of the wait. */
    interface Listener {
        /** Memory is booked at the engine under the id. */
        void granted(Endpoint engine, String id);

        /** Nothing could be booked in time, or there is no engine to book at. */
        void refused(String why);
    }

    private final int tokens;
    private final int room;
    private final double cost;
    private final long inTimeUntil;
    private final long waitUntil;
    private final @Nullable Endpoint requiredEngine;
    private final Listener listener;
    private boolean inquiring;
    private int inquiries;
    private boolean finished;

    /**
     * Creates a wait.
     *
     * @param tokens the memory to book
     * @param room memory that must be free besides
     * @param cost what serving it is expected to cost; of two who wait, the cheaper goes first
     * @param inTimeUntil monotonic time in nanoseconds up to which a place still meets the latency objective
     * @param waitUntil monotonic time in nanoseconds at which to stop waiting
     * @param requiredEngine the one engine that will do, refused as soon as it has no room; null if any will
     * @param listener takes the outcome
     */
    BookingRequest(
            int tokens,
            int room,
            double cost,
            long inTimeUntil,
            long waitUntil,
            @Nullable Endpoint requiredEngine,
            Listener listener) {
        this.tokens = tokens;
        this.room = room;
        this.cost = cost;
        this.inTimeUntil = inTimeUntil;
        this.waitUntil = waitUntil;
        this.requiredEngine = requiredEngine;
        this.listener = listener;
    }

    int tokens() {
        return tokens;
    }

    int room() {
        return room;
    }

    double cost() {
        return cost;
    }

    boolean isLate(long now) {
        return now - inTimeUntil > 0;
    }

    long waitUntil() {
        return waitUntil;
    }

    /** Returns whether an engine will do. */
    boolean accepts(Endpoint engine) {
        return requiredEngine == null || requiredEngine.equals(engine);
    }

    /** Returns whether it doesn't wait for room. */
    boolean refusedWhenFull() {
        return requiredEngine != null;
    }

    boolean inquiring() {
        return inquiring;
    }

    void inquiring(boolean isInquiring) {
        inquiring = isInquiring;
        inquiries += isInquiring ? 1 : 0;
    }

    /** Returns how many engines' answers it has asked for. */
    int inquiries() {
        return inquiries;
    }

    boolean finished() {
        return finished;
    }

    void cancel() {
        finished = true;
    }

    void grant(Endpoint engine, String id) {
        finished = true;
        listener.granted(engine, id);
    }

    void refuse(@Nullable String why) {
        finished = true;
        listener.refused(why == null ? "no decode memory in time" : why);
    }
}
