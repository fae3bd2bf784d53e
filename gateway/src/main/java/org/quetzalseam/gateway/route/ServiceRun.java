package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.endpoint.EndpointCall;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.http.ReplyCollector;
import org.quetzalseam.gateway.protocol.Forwarding;
import org.quetzalseam.gateway.protocol.ReplyFacts;
import org.quetzalseam.gateway.runtime.ScheduledCall;

/**
 * Runs one call of a plain service and forwards the answer when it is complete. Used on the event loop only.
 *
 * <p>A request that may have run is sent again only if it is idempotent. A request that an endpoint has refused, or that
 * never left this process, may be sent to another endpoint in any case.
 */
final class ServiceRun {
    /** Longest answer that is buffered, in bytes; a plain service's answers are some kilobytes long. */
    private static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;
    /** Number of refusals by endpoints after which the caller is refused because the service is full. */
    private static final int MAX_REJECTIONS = 3;
    /** Number of connections that may fail to open before the caller is refused. */
    private static final int MAX_CONNECT_FAILURES = 3;
    /** Retry-after time of a full service, in milliseconds: a few times its usual answer time. */
    private static final long FULL_RETRY_AFTER_MILLIS = 300;
    /** Share of the remaining time that an attempt may use if another one may follow. */
    private static final double ATTEMPT_TIME_SHARE = 0.5;

    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final String service;
    private final RunLog log;
    private final ForwardedRequest forwarded;
    private final Set<Endpoint> triedEndpoints = new HashSet<>();
    private final CallPlaces places;
    private final Repeats repeats;
    private @Nullable EndpointSearch search;
    private @Nullable EndpointCall call;
    private @Nullable Endpoint currentEndpoint;
    private @Nullable ScheduledCall attemptTimer;
    private @Nullable ScheduledCall deadlineTimer;
    private int runs;
    private int rejections;
    private int connectFailures;
    private boolean mayHaveRun;

    ServiceRun(RunContext context, Exchange exchange, RouteRule route, String service, RunLog log) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.log = log;
        this.forwarded = new ForwardedRequest(exchange, context.protocol(), route);
        this.repeats = new Repeats(context, service, log);
        this.places = new CallPlaces(context, exchange, route, service, forwarded, new Placed());
    }

    void start() {
        exchange.onCallerDisconnected(this::callerDisconnected);
        exchange.onShutdown(this::entryStopping);
        deadlineTimer = context.after(forwarded.remainingMillis(), this::deadlinePassed);
        sendToNext();
    }

    private List<Endpoint> candidates() {
        return context.directory().usable(service, Stage.WHOLE).stream()
                .filter(Endpoint::hasFreeConnection)
                .toList();
    }

    private Comparator<Endpoint> order() {
        long now = context.now();
        return Comparator.<Endpoint, Boolean>comparing(triedEndpoints::contains)
                .thenComparing(endpoint -> endpoint.health().isSuspect(now))
                .thenComparingDouble(ServiceRun::expectedMillis)
                .thenComparing(endpoint ->
                        !endpoint.member().zone().equals(context.settings().zone()));
    }

    private static double expectedMillis(Endpoint endpoint) {
        return endpoint.outstanding() == 0
                ? 0
                : endpoint.outstanding() * endpoint.health().responseMillis();
    }

    private void sendToNext() {
        if (endIfQuarantined()) {
            return;
        }
        if (places.dispatched()) {
            places.ask(triedEndpoints);
        } else {
            searchAlone();
        }
    }

    /** Receives the decision of the service's dispatcher. */
    private final class Placed implements CallPlaces.Listener {
        @Override
        public void granted(Endpoint endpoint) {
            if (!endIfQuarantined()) {
                send(endpoint);
            }
        }

        @Override
        public void refused(long retryAfterMillis) {
            if (mayHaveRun) {
                giveUp(CallPlaces.NO_PLACE);
                return;
            }
            finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            context.refuse(exchange, CallPlaces.NO_PLACE, retryAfterMillis);
        }

        @Override
        public void undecided() {
            searchAlone();
        }
    }

    /** Finds an endpoint by what this entry itself knows of the service's endpoints. */
    private void searchAlone() {
        EndpointSearch newSearch = new EndpointSearch(
                context, this::candidates, order(), () -> LimitWait.maxMillis(exchange, route, forwarded), new Found());
        search = newSearch;
        newSearch.start();
    }

    private final class Found implements EndpointSearch.Listener {
        @Override
        public void found(Endpoint endpoint) {
            if (!endIfQuarantined()) {
                send(endpoint);
            }
        }

        @Override
        public void none() {
            giveUp("no endpoint that takes another connection");
        }

        @Override
        public void limited(long retryAfterMillis, String inputs) {
            if (mayHaveRun) {
                giveUp(RunContext.ALL_LIMITED);
                return;
            }
            finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            context.refuseAtLimit(exchange, service, retryAfterMillis, inputs);
        }
    }

    private void send(Endpoint endpoint) {
        if (!repeats.send(endpoint)) {
            places.ended(PlaceOutcome.NOT_SENT, 0);
            giveUp(RunContext.BUDGET_SPENT);
            return;
        }
        triedEndpoints.add(endpoint);
        currentEndpoint = endpoint;
        context.crashGuard().recordSent(exchange);
        HttpRequest head = forwarded.head(Forwarding.whole(endpoint.member().id(), forwarded.remainingMillis()));
        long sentAt = context.now();
        ReplyCollector reply = new ReplyCollector(
                MAX_ANSWER_BYTES, (answer, body) -> answered(endpoint, answer, body, sentAt), failure -> {
                    context.recordFailed("run", exchange, endpoint, failure, log, sentAt, 0);
                    failed(endpoint, failure);
                });
        if (mayRepeat()) {
            attemptTimer = context.after(
                    (long) (forwarded.remainingMillis() * ATTEMPT_TIME_SHARE), () -> attemptTimedOut(endpoint));
        }
        call = endpoint.send(head, exchange.body(), exchange.facts().id(), reply);
    }

    private boolean mayRepeat() {
        return route.mayRepeat() && runs + 1 < route.maxAttempts();
    }

    private void attemptTimedOut(Endpoint endpoint) {
        EndpointCall slow = call;
        if (exchange.ended() || slow == null) {
            return;
        }
        slow.cancel();
        failed(endpoint, new CallFailure(CallFailure.Kind.TIMED_OUT, "no answer in this attempt's share of the time"));
    }

    private void stopAttemptTimer() {
        ScheduledCall timer = attemptTimer;
        if (timer != null) {
            timer.cancel();
            attemptTimer = null;
        }
    }

    private void answered(Endpoint endpoint, HttpResponse answer, ByteBuf body, long sentAt) {
        stopAttemptTimer();
        ReplyFacts facts = context.protocol().facts(answer);
        if (facts.notRun()) {
            body.release();
            context.crashGuard().recordRejected(exchange);
            places.ended(PlaceOutcome.REJECTED, 0);
            rejected(endpoint, answer.status().code(), sentAt);
            return;
        }
        runs++;
        mayHaveRun = true;
        context.crashGuard().recordEnded(exchange, isWholeSuccess(answer, facts));
        if (!facts.signed()) {
            body.release();
            places.ended(PlaceOutcome.FAILED, 0);
            endpoint.health().recordFailure(context.now());
            retryOrReportUnknown(endpoint, "unsigned answer " + answer.status().code());
            return;
        }
        // Also an endpoint's own failure shows that it runs, and how long it takes.
        places.ended(PlaceOutcome.ANSWERED, context.now() - sentAt);
        boolean serverFault = answer.status().code() >= 500;
        if (serverFault) {
            endpoint.health().recordFailure(context.now());
        } else {
            endpoint.health().recordSuccess(context.now(), (context.now() - sentAt) / 1e6);
        }
        if (serverFault && decideRetry() == RetryDecision.ALLOWED) {
            body.release();
            log.step("retry", endpoint, "status=" + answer.status().code() + " " + context.describeBudget(service));
            sendToNext();
            return;
        }
        finish("answered", answer.status().code());
        if (!serverFault) {
            // A failure is excluded because it may arrive sooner than the answer that it replaces.
            context.answerTime(route).recordAnswer(exchange.facts().estimate(), exchange.ageMillis());
        }
        exchange.answer(answer, body);
    }

    /** Returns whether an answer is known to be whole and a success: one that ends with its connection may have been cut short. */
    private static boolean isWholeSuccess(HttpResponse answer, ReplyFacts facts) {
        return facts.signed()
                && HttpStatusClass.SUCCESS.contains(answer.status().code())
                && ReplyFraming.statesItsEnd(answer);
    }

    private void rejected(Endpoint endpoint, int status, long sentAt) {
        rejections++;
        log.rejected(endpoint, status, sentAt, context.describeBudget(service));
        if (rejections < MAX_REJECTIONS && repeats.decide(1)) {
            sendToNext();
        } else {
            giveUp("the service is full");
        }
    }

    private RetryDecision decideRetry() {
        return RunContext.decideRetry(route, runs, repeats, 1);
    }

    private void failed(Endpoint endpoint, CallFailure failure) {
        stopAttemptTimer();
        if (exchange.ended()) {
            return;
        }
        places.ended(PlaceOutcome.FAILED, 0);
        endpoint.health().recordFailure(context.now());
        log.callFailed("run", endpoint, failure);
        if (failure.nothingSent()) {
            context.crashGuard().recordNotSent(exchange);
            repeats.notSent();
            connectFailures++;
            if (connectFailures < MAX_CONNECT_FAILURES) {
                sendToNext();
            } else {
                giveUp("no endpoint can be reached");
            }
            return;
        }
        runs++;
        mayHaveRun = true;
        retryOrReportUnknown(endpoint, "reply lost: " + failure.kind());
    }

    /** Handles a request that may have run, and for which there is no answer to forward: sends it again if that is allowed. */
    private void retryOrReportUnknown(Endpoint endpoint, String why) {
        RetryDecision decision = decideRetry();
        if (decision == RetryDecision.ALLOWED) {
            log.step("retry", endpoint, "why=\"" + why + "\" " + context.describeBudget(service));
            sendToNext();
            return;
        }
        log.attemptsEnded(why, decision, context.describeBudget(service));
        finish("unknown", HttpResponseStatus.BAD_GATEWAY.code());
        context.fail(exchange, HttpResponseStatus.BAD_GATEWAY, "the endpoint gave no whole answer");
    }

    /**
     * Ends the request because no endpoint accepts it now: with a refusal if it has run nowhere, else with an unknown
     * outcome.
     */
    private void giveUp(String why) {
        if (mayHaveRun) {
            finish("unknown", HttpResponseStatus.BAD_GATEWAY.code());
            context.fail(exchange, HttpResponseStatus.BAD_GATEWAY, why);
            return;
        }
        finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
        context.refuse(exchange, why, FULL_RETRY_AFTER_MILLIS);
    }

    /** Ends a request that is quarantined: with a refusal if it has run nowhere, else with an unknown outcome. */
    private boolean endIfQuarantined() {
        if (!context.crashGuard().quarantines(exchange)) {
            return false;
        }
        if (mayHaveRun) {
            log.attemptsEnded(RunContext.QUARANTINED, RetryDecision.QUARANTINED, context.describeBudget(service));
            finish("unknown", HttpResponseStatus.BAD_GATEWAY.code());
            context.fail(exchange, HttpResponseStatus.BAD_GATEWAY, RunContext.QUARANTINED);
        } else {
            finish("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code());
            context.refuseQuarantined(exchange);
        }
        return true;
    }

    private void deadlinePassed() {
        EndpointCall running = call;
        boolean sent = mayHaveRun || (running != null && running.sent());
        Endpoint unresponsive = currentEndpoint;
        if (unresponsive != null && running != null && running.active()) {
            unresponsive.health().recordFailure(context.now());
            places.ended(PlaceOutcome.FAILED, 0);
        }
        if (running != null) {
            running.cancel();
        }
        if (sent) {
            finish("timed-out", HttpResponseStatus.GATEWAY_TIMEOUT.code());
            context.fail(exchange, HttpResponseStatus.GATEWAY_TIMEOUT, "no answer in time");
        } else {
            giveUp("no endpoint in time");
        }
    }

    private void entryStopping() {
        EndpointCall running = call;
        if (running != null) {
            running.cancel();
        }
        if (mayHaveRun || (running != null && running.sent())) {
            finish("stopped", HttpResponseStatus.BAD_GATEWAY.code());
            context.fail(exchange, HttpResponseStatus.BAD_GATEWAY, "this entry stops");
        } else {
            giveUp("this entry stops");
        }
    }

    private void callerDisconnected() {
        EndpointCall running = call;
        if (running != null) {
            running.cancel();
        }
        finish("caller-gone", 0);
    }

    private void finish(String outcome, int status) {
        stopAttemptTimer();
        repeats.release();
        places.cancel();
        EndpointSearch pending = search;
        if (pending != null) {
            pending.cancel();
        }
        ScheduledCall timer = deadlineTimer;
        if (timer != null) {
            timer.cancel();
        }
        log.ended(outcome, status, runs + rejections);
    }
}
