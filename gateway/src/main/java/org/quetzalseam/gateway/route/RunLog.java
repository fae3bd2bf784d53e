package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.generation.PrefillPlanner;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.operator.GatewayMetrics;

/** Writes the log lines of one request, each with its id, and updates the metrics that go with them. */
final class RunLog {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final GatewayMetrics metrics;
    private final Exchange exchange;
    private final RouteRule route;
    private final String service;
    private final long version;

    RunLog(GatewayMetrics metrics, Exchange exchange, RouteRule route, String service, long version) {
        this.metrics = metrics;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.version = version;
    }

    /** Logs where a stream begins or goes on. */
    void begun(Endpoint engine) {
        step("stream-begun", engine, "build=" + engine.member().build());
    }

    void firstEvent() {
        metrics.firstEvent(route.name(), exchange.ageMillis());
    }

    void booked(Endpoint engine, int tokens) {
        metrics.bookingWait(route.name(), exchange.ageMillis());
        step("booked", engine, "build=" + engine.member().build() + " tokens=" + tokens);
    }

    void notBooked(BookingRequest request, int engines, long earlierAttemptsMillis, String why) {
        logger.atInfo().log(
                "event=booking-refused request=%s service=%s why=\"%s\" tokens=%d room=%d engines=%d asked=%d"
                        + " spent_before_ms=%d age_ms=%d",
                exchange.facts().id(),
                service,
                why,
                request.tokens(),
                request.room(),
                engines,
                request.inquiries(),
                earlierAttemptsMillis,
                exchange.ageMillis());
    }

    void streamed(StreamPace pace, long earlierAttemptsMillis) {
        metrics.longestPause(route.name(), pace.longestPauseMillis());
        logger.atInfo().log(
                "event=stream-ended request=%s events=%d first_event_ms=%d longest_pause_ms=%d spent_before_ms=%d age_ms=%d",
                exchange.facts().id(),
                pace.pieces(),
                pace.firstMillis(),
                pace.longestPauseMillis(),
                earlierAttemptsMillis,
                exchange.ageMillis());
    }

    /**
     * Logs that a repeat is sent, or no longer allowed to be, and how long it has waited.
     *
     * @param decidedAt when the repeat was decided, in monotonic nanoseconds
     */
    void repeatSent(Endpoint endpoint, boolean sent, long decidedAt, String budget) {
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - decidedAt);
        step(sent ? "repeat-sent" : "repeat-denied", endpoint, "waited_ms=" + waitedMillis + " " + budget);
    }

    /** Logs why a request that may have run is not sent again. */
    void attemptsEnded(String why, RetryDecision denied, String budget) {
        logger.atInfo().log(
                "event=tries-end request=%s why=\"%s\" denied=%s age_ms=%d %s",
                exchange.facts().id(), why, denied, exchange.ageMillis(), budget);
    }

    void prefillWasted(int tokens) {
        metrics.wastedPromptTokens(service, tokens);
        logger.atInfo().log(
                "event=prompt-in-vain request=%s tokens=%d age_ms=%d",
                exchange.facts().id(), tokens, exchange.ageMillis());
    }

    void ended(String outcome, int status, int attempts) {
        metrics.requestEnded(route.name(), outcome, exchange.ageMillis());
        logger.atInfo().log(
                "event=request-ended request=%s route=%s service=%s version=%d outcome=%s status=%d tries=%d age_ms=%d",
                exchange.facts().id(), route.name(), service, version, outcome, status, attempts, exchange.ageMillis());
    }

    /** Logs that a prompt is queued, and why. */
    void prefillQueued(Endpoint engine, PrefillPlanner.Verdict verdict, String inputs) {
        step("prompt-waits", engine, "verdict=" + verdict + " " + inputs);
    }

    /** Logs that a prompt is refused without having begun, and why. */
    void prefillNotBegun(Endpoint engine, PrefillPlanner.Verdict verdict, String inputs) {
        step("prompt-not-begun", engine, "verdict=" + verdict + " " + inputs);
    }

    /** Logs that a prompt is not sent to an engine because of the limit that it states. */
    void prefillNotAllowed(Endpoint engine, String inputs) {
        logger.atInfo().log(
                "event=prompt-at-limit request=%s service=%s age_ms=%d %s",
                exchange.facts().id(), service, exchange.ageMillis(), inputs);
    }

    /**
     * Logs that an endpoint has refused the request, which means that it has not run there, and how long after it was sent: a reply
     * that comes sooner than a round trip takes is a repeated one.
     *
     * @param sentAt when the request was sent, in monotonic nanoseconds
     */
    void rejected(Endpoint endpoint, int status, long sentAt, String budget) {
        metrics.failedAttempt(service, "REJECTED");
        long tookMicros = TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentAt);
        step("rejected", endpoint, "status=" + status + " took_us=" + tookMicros + " " + budget);
    }

    void step(String step, Endpoint endpoint, String detail) {
        logger.atInfo().log(
                "event=%s request=%s endpoint=%s age_ms=%d %s",
                step, exchange.facts().id(), endpoint.member().id(), exchange.ageMillis(), detail);
    }

    /**
     * Logs that a connection was lost while an endpoint may have run the request on it: which request it was, which
     * parts of its prompt others may hold too, how long its call had been sent and had begun to be answered, and how many other calls of this entry the endpoint still has.
     *
     * @param sentAt when the call was sent, in monotonic nanoseconds
     * @param begunAt when its answer began, or 0 if it had not begun
     */
    void runLost(String call, Endpoint endpoint, long sentAt, long begunAt) {
        long now = System.nanoTime();
        step(
                "run-lost",
                endpoint,
                String.format(
                        Locale.ROOT,
                        "call=%s fingerprint=%s parts=%s caller=%08x sent_ms=%d begun_ms=%d others=%d",
                        call,
                        exchange.fingerprint(),
                        String.join(",", exchange.facts().sharedParts()),
                        exchange.callerHost().hashCode(),
                        TimeUnit.NANOSECONDS.toMillis(now - sentAt),
                        begunAt == 0 ? -1 : TimeUnit.NANOSECONDS.toMillis(now - begunAt),
                        endpoint.outstanding()));
    }

    void callFailed(String call, Endpoint endpoint, CallFailure failure) {
        metrics.failedAttempt(service, failure.kind().name());
        logger.atInfo().log(
                "event=call-failed call=%s request=%s endpoint=%s age_ms=%d kind=%s detail=\"%s\"",
                call,
                exchange.facts().id(),
                endpoint.member().id(),
                exchange.ageMillis(),
                failure.kind(),
                failure.detail());
    }
}
