package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** A generation's request for decode memory, queued at a {@link BookingManager}. Used on the event loop only. */
final class BookingRequest {
    /** Receives the result of the request. */
    interface Listener {
        /** Called when memory is booked at the engine under the id. */
        void granted(Endpoint engine, String id);

        /** Called when nothing could be booked in time, or when there is no engine to book at. */
        void refused(String why);
    }

    private final int tokens;
    private final int room;
    private final double cost;
    private final long inTimeUntil;
    private final long waitUntil;
    private final @Nullable Endpoint requiredEngine;
    private final @Nullable StreamOrigin origin;
    private final Listener listener;
    private boolean inquiring;
    private int inquiries;
    private boolean finished;

    /**
     * Creates a request.
     *
     * @param tokens the memory to book, in tokens
     * @param room additional memory that must be free, in tokens
     * @param cost expected cost of serving the generation; of two queued requests, the cheaper is served first
     * @param inTimeUntil monotonic time in nanoseconds up to which a booking still meets the latency objective
     * @param waitUntil monotonic time in nanoseconds at which the request is refused
     * @param requiredEngine the only acceptable engine, in which case the request is refused as soon as that engine has no
     *     room; null if any engine is acceptable
     * @param origin where the stream began if it is to go on, or null if it may run anywhere
     * @param listener receives the result
     */
    BookingRequest(
            int tokens,
            int room,
            double cost,
            long inTimeUntil,
            long waitUntil,
            @Nullable Endpoint requiredEngine,
            @Nullable StreamOrigin origin,
            Listener listener) {
        this.tokens = tokens;
        this.room = room;
        this.cost = cost;
        this.inTimeUntil = inTimeUntil;
        this.waitUntil = waitUntil;
        this.requiredEngine = requiredEngine;
        this.origin = origin;
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

    /** Returns whether an engine is acceptable. */
    boolean accepts(Endpoint engine) {
        return requiredEngine == null || requiredEngine.equals(engine);
    }

    /** Returns whether the stream may run at an engine. */
    boolean mayRunAt(Endpoint engine) {
        return origin == null || origin.allows(engine.member());
    }

    /** Returns whether the stream may run only at the build that began it. */
    boolean goesOn() {
        return origin != null;
    }

    /** Returns whether the request is refused instead of waiting for room. */
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

    /** Returns the number of booking inquiries sent to engines so far. */
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
