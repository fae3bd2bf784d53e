package org.quetzalseam.gateway.route;

import io.netty.handler.codec.http.HttpResponseStatus;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;

/** Ends one generation, with an answer that states truthfully whether it may have run. Used on the event loop only. */
final class GenerationEnd {
    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final String service;
    private final RunLog log;
    private final BookingManager bookings;
    private final GenerationAttempts attempts;
    private Runnable onFinished = () -> {};
    private boolean mayHaveRun;
    private boolean finished;

    GenerationEnd(
            RunContext context,
            Exchange exchange,
            RouteRule route,
            String service,
            RunLog log,
            BookingManager bookings,
            GenerationAttempts attempts) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.log = log;
        this.bookings = bookings;
        this.attempts = attempts;
    }

    /** Sets the callback that runs once, when the generation ends. */
    void onFinished(Runnable call) {
        onFinished = call;
    }

    /** Records that an engine has run the request, or may have run it. */
    void recordMayHaveRun() {
        mayHaveRun = true;
    }

    /** Returns whether an engine has run the request, or may have run it. */
    boolean mayHaveRun() {
        return mayHaveRun;
    }

    /** Records the end of the generation; has no effect after the first call. */
    void finish(String outcome, int status) {
        if (finished) {
            return;
        }
        finished = true;
        onFinished.run();
        log.ended(outcome, status, attempts.count());
    }

    /** Ends a request that may have run, for which there is no whole answer. */
    void endWithUnknownOutcome(String why, RetryDecision denied) {
        log.attemptsEnded(why, denied, context.describeBudget(service));
        finish("broken-off", HttpResponseStatus.BAD_GATEWAY.code());
        abortOrFail(why, HttpResponseStatus.BAD_GATEWAY, "the engine gave no whole answer");
    }

    /**
     * Ends the request because no engine accepts it now: with a refusal if it has run nowhere, else with an unknown
     * outcome.
     */
    void giveUp(String why) {
        if (finished) {
            return;
        }
        if (mayHaveRun) {
            endWithUnknownOutcome(why, RetryDecision.TRIES_USED_UP);
            return;
        }
        finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
        context.refuse(exchange, why, bookings.retryAfterMillis((double) route.targetLatencyMillis()));
    }

    /** Ends the request because all endpoints that might run it state limits, in the same way. */
    void giveUpAtLimit(long retryAfterMillis, String inputs) {
        if (mayHaveRun) {
            endWithUnknownOutcome(RunContext.ALL_LIMITED, RetryDecision.TRIES_USED_UP);
            return;
        }
        finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
        context.refuseAtLimit(exchange, service, retryAfterMillis, inputs);
    }

    /** Ends a request that is quarantined: with a refusal if it has run nowhere, else with an unknown outcome. */
    boolean endIfQuarantined() {
        if (!context.crashGuard().quarantines(exchange)) {
            return false;
        }
        if (mayHaveRun) {
            endWithUnknownOutcome(RunContext.QUARANTINED, RetryDecision.QUARANTINED);
        } else {
            finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            context.refuseQuarantined(exchange);
        }
        return true;
    }

    /** Breaks off the stream if it has begun, else answers with a failure. */
    void abortOrFail(String why, HttpResponseStatus status, String text) {
        if (exchange.begun()) {
            exchange.abort(why);
        } else {
            context.fail(exchange, status, text);
        }
    }
}
