package org.quetzalseam.gateway.route;

import org.quetzalseam.core.routing.RouteRule;

/**
 * Counts the attempts of one generation, each from booking to decoding, and decides whether it may have another. Used on
 * the event loop only.
 */
final class GenerationAttempts {
    /**
     * Attempts for one request before it is given up: two failures say little about a third attempt, three say much about
     * the service.
     */
    private static final int MAX_ATTEMPTS = 3;

    private final RunContext context;
    private final RouteRule route;
    private final String service;
    private final Repeats repeats;
    private int count;
    private int runs;

    GenerationAttempts(RunContext context, RouteRule route, String service, Repeats repeats) {
        this.repeats = repeats;
        this.context = context;
        this.route = route;
        this.service = service;
    }

    /** Returns the number of attempts started. */
    int count() {
        return count;
    }

    void recordStarted() {
        count++;
    }

    /** Records that the last attempt has sent nothing and is started again; it does not count. */
    void recordPostponed() {
        count--;
    }

    /** Records that an engine has run the request, or may have run it. */
    void recordRun() {
        runs++;
    }

    /**
     * Returns whether a request that the last engine has not run gets another attempt; if so, its cost is reserved from the retry
     * budget.
     */
    boolean acquireRetry() {
        return count < MAX_ATTEMPTS && repeats.decide(context.sendingsPerAttempt(service));
    }

    /**
     * Decides whether a request that may have run is resumed in another attempt; if so, its cost is reserved from the retry budget.
     */
    RetryDecision acquireResume() {
        return count < MAX_ATTEMPTS
                ? RunContext.decideRetry(route, runs, repeats, context.sendingsPerAttempt(service))
                : RetryDecision.TRIES_USED_UP;
    }
}
