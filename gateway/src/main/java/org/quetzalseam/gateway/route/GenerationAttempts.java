package org.quetzalseam.gateway.route;

import org.quetzalseam.core.routing.RouteRule;

/** The turns that one generation has had, each from booking to decoding, and whether it may have another. Used on the event loop only. */
final class GenerationAttempts {
    /** Turns for one request before it is given up: two that fail say little of the third, three much of the service. */
    private static final int MAX_ATTEMPTS = 3;

    private final RunContext context;
    private final RouteRule route;
    private final String service;
    private int count;
    private int runs;

    GenerationAttempts(RunContext context, RouteRule route, String service) {
        this.context = context;
        this.route = route;
        this.service = service;
    }

    /** Returns how many turns have been taken. */
    int count() {
        return count;
    }

    void recordStarted() {
        count++;
    }

    /** Notes that a turn has sent nothing and is to be taken anew. */
    void recordPostponed() {
        count--;
    }

    /** Notes that an engine has run the request, or may have. */
    void recordRun() {
        runs++;
    }

    /** Decides whether a request that the last engine has not run takes another turn, and pays for it if so. */
    boolean acquireRetry() {
        return count < MAX_ATTEMPTS && context.acquireAttempt(service);
    }

    /** Decides whether a request that may have run goes on in another turn, and pays for it if so. */
    RetryDecision acquireResume() {
        return count < MAX_ATTEMPTS ? context.decideAttempt(route, service, runs) : RetryDecision.TRIES_USED_UP;
    }
}
