package org.quetzalseam.gateway.route;

import org.quetzalseam.core.limits.RetryAllowance;
import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * The repeated sendings of one request, which the retry budget bounds. What a repeat costs is reserved when it is decided, and counted
 * when it is sent, which may be much later: it may wait for memory, a permit, a place or its prompt. Until a repeat has been decided,
 * all sendings are first ones and cost nothing. Used on the event loop only.
 */
final class Repeats {
    private final RunContext context;
    private final String service;
    private final RunLog log;
    private final RetryAllowance.Reservation reservation;
    private boolean repeating;
    private long decidedAt;

    Repeats(RunContext context, String service, RunLog log) {
        this.context = context;
        this.service = service;
        this.log = log;
        this.reservation = context.retries(service).newReservation();
    }

    /**
     * Decides on a repeat.
     *
     * @param sendings how often the repeat sends the request
     * @return whether the budget allows it
     */
    boolean decide(int sendings) {
        reservation.release();
        boolean allowed = reservation.add(context.now(), sendings);
        context.metrics().retry(service, allowed);
        if (allowed) {
            repeating = true;
            decidedAt = context.now();
        }
        return allowed;
    }

    /** Returns whether the repeat, if it is one, can still send the request so many times; reserves what is missing. */
    boolean reserve(int sendings) {
        int missing = sendings - reservation.unsent();
        return !repeating || missing <= 0 || reservation.add(context.now(), missing);
    }

    /** Counts a sending, which must follow at once. Returns false if the budget no longer allows it. */
    boolean send(Endpoint endpoint) {
        if (!repeating) {
            return true;
        }
        boolean sent = reserve(1) && reservation.send(context.now());
        log.repeatSent(endpoint, sent, decidedAt, context.describeBudget(service));
        return sent;
    }

    /** Takes back the last sending, which has not reached its endpoint. */
    void notSent() {
        if (repeating) {
            reservation.takeBack();
        }
    }

    /** Gives up what has not been sent. */
    void release() {
        reservation.release();
    }
}
