package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.endpoint.Endpoint;

/** A generation's wait for decode memory at a {@link ReservationDesk}. Used on the event loop only. */
final class Reservation {
    /** What becomes of the wait. */
    interface Outcome {
        /** Memory is booked at the engine under the id. */
        void granted(Endpoint engine, String id);

        /** Nothing could be booked in time, or there is no engine to book at. */
        void refused(String why);
    }

    private final int tokens;
    private final int room;
    private final double cost;
    private final long inTimeUntil;
    private final long until;
    private final @Nullable Endpoint only;
    private final Outcome outcome;
    private boolean asking;
    private int asks;
    private boolean over;

    /**
     * Creates a wait.
     *
     * @param tokens the memory to book
     * @param room memory that must be free besides
     * @param cost what serving it is expected to cost; of two who wait, the cheaper goes first
     * @param inTimeUntil monotonic time in nanoseconds up to which a place still meets the latency objective
     * @param until monotonic time in nanoseconds at which to stop waiting
     * @param only the one engine that will do, refused as soon as it has no room; null if any will
     * @param outcome takes the outcome
     */
    Reservation(
            int tokens, int room, double cost, long inTimeUntil, long until, @Nullable Endpoint only, Outcome outcome) {
        this.tokens = tokens;
        this.room = room;
        this.cost = cost;
        this.inTimeUntil = inTimeUntil;
        this.until = until;
        this.only = only;
        this.outcome = outcome;
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

    boolean late(long now) {
        return now - inTimeUntil > 0;
    }

    long until() {
        return until;
    }

    /** Returns whether an engine will do. */
    boolean takes(Endpoint engine) {
        return only == null || only.equals(engine);
    }

    /** Returns whether it doesn't wait for room. */
    boolean impatient() {
        return only != null;
    }

    boolean asking() {
        return asking;
    }

    void asking(boolean now) {
        asking = now;
        asks += now ? 1 : 0;
    }

    /** Returns how many engines' answers it has asked for. */
    int asks() {
        return asks;
    }

    boolean over() {
        return over;
    }

    void cancel() {
        over = true;
    }

    void grant(Endpoint engine, String id) {
        over = true;
        outcome.granted(engine, id);
    }

    void refuse(@Nullable String why) {
        over = true;
        outcome.refused(why == null ? "no decode memory in time" : why);
    }
}
