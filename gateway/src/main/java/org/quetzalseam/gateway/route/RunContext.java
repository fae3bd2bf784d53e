package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.drain.AnswerTimeModel;
import org.quetzalseam.core.drain.GracePeriod;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.limits.ConnectionShare;
import org.quetzalseam.core.limits.EarlierWaitEstimator;
import org.quetzalseam.core.limits.RetryAllowance;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.routing.ServiceRule;
import org.quetzalseam.gateway.access.AccessControl;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.crash.CrashGuard;
import org.quetzalseam.gateway.dispatch.CoreQueues;
import org.quetzalseam.gateway.dispatch.DirectoryEndpoints;
import org.quetzalseam.gateway.dispatch.Dispatchers;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.http.CallFailure;
import org.quetzalseam.gateway.limit.EndpointLimits;
import org.quetzalseam.gateway.operator.GatewayMetrics;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.Timers;

/** Holds the state that all requests of an entry share. Used on the event loop only. */
final class RunContext {
    /** Reason given when a draining entry refuses a request. */
    private static final String STOPS_SOONER = "this entry stops before the answer would end";

    /** Reason given when a request is refused because endpoints crashed while they ran it. */
    static final String QUARANTINED = "endpoints have crashed while they ran this request";

    private static final String PART_QUARANTINED =
            "endpoints have crashed while they ran requests with a part of this prompt";

    /** Reason given when a stream is refused because it can go on only at a build that no endpoint has now. */
    static final String NO_ENDPOINT_OF_BUILD = "no endpoint of the build that began the stream";

    /** Reason given when a repeat is given up that the retry budget no longer allows when it is to be sent. */
    static final String BUDGET_SPENT = "the retry budget is used up";

    /** Reason given when a request is refused because of the limits that endpoints state. */
    static final String ALL_LIMITED = "all endpoints state limits, and none has room in time";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final Protocol protocol;
    private final Directory directory;
    private final GatewayMetrics metrics;
    private final CrashGuard crashGuard;
    private final EndpointLimits endpointLimits;
    private final Dispatchers dispatchers;
    private final long createdAt;
    private EntrySettings settings;
    /** The number of entries that share the site; null before the first count. */
    private @Nullable EntryCount entries;

    private @Nullable GracePeriod grace;
    private List<ServiceRule> services = List.of();
    private final Map<String, RetryAllowance> retries = new HashMap<>();
    private final Map<String, EarlierWaitEstimator> earlierWaits = new HashMap<>();
    private final Map<String, AnswerTimeModel> answerTimes = new HashMap<>();
    private final Map<String, BookingManager> bookings = new HashMap<>();

    RunContext(
            Timers timers,
            Protocol protocol,
            Directory directory,
            EntrySettings settings,
            GatewayMetrics metrics,
            Peers peers) {
        this.timers = timers;
        this.protocol = protocol;
        this.directory = directory;
        this.settings = settings;
        this.metrics = metrics;
        this.crashGuard = new CrashGuard(timers, settings.name(), peers);
        this.endpointLimits = new EndpointLimits(timers, directory, peers, settings.name());
        this.dispatchers = new Dispatchers(
                timers,
                new DirectoryEndpoints(directory),
                peers,
                settings.name(),
                settings.dispatch(),
                metrics,
                new CoreQueues());
        this.createdAt = timers.now();
    }

    Timers timers() {
        return timers;
    }

    Protocol protocol() {
        return protocol;
    }

    Directory directory() {
        return directory;
    }

    EntrySettings settings() {
        return settings;
    }

    void settings(EntrySettings newSettings) {
        settings = newSettings;
        dispatchers.settings(newSettings.dispatch());
        retries.values()
                .forEach(allowance -> allowance.updateBudget(
                        newSettings.retryRatio(), newSettings.retrySlack(), windowNanos(newSettings)));
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    CrashGuard crashGuard() {
        return crashGuard;
    }

    EndpointLimits endpointLimits() {
        return endpointLimits;
    }

    Dispatchers dispatchers() {
        return dispatchers;
    }

    long now() {
        return timers.now();
    }

    ScheduledCall after(long millis, Runnable call) {
        return timers.after(millis, call);
    }

    /**
     * Returns how often another attempt of a generation sends its request: once for the run, and once for the prefill of its prompt,
     * because only the first prefill of a request is free.
     */
    int sendingsPerAttempt(String service) {
        return directory.usable(service, Stage.PREFILL).isEmpty() ? 1 : 2;
    }

    /** Returns the inputs of a retry decision at a service as {@code key=value} pairs for the log. */
    String describeBudget(String service) {
        RetryAllowance.Inputs inputs = retries(service).inputs(now());
        EntryCount counted = entries;
        return String.format(
                Locale.ROOT,
                "budget_left=%d budget_requests=%d budget_retries=%d budget_reserved=%d budget_slack=%.1f entries=%d up_ms=%d",
                inputs.retriesLeft(),
                inputs.requests(),
                inputs.retries(),
                inputs.reserved(),
                inputs.slack(),
                counted == null ? 0 : counted.entries(),
                TimeUnit.NANOSECONDS.toMillis(inputs.upNanos()));
    }

    /**
     * Decides whether a request that may have run the given number of times is sent again; if so, reserves the sendings of which that
     * consists.
     */
    static RetryDecision decideRetry(RouteRule route, int runs, Repeats repeats, int sendings) {
        if (!route.mayRepeat()) {
            return RetryDecision.NOT_IDEMPOTENT;
        }
        if (runs >= route.maxAttempts()) {
            return RetryDecision.TRIES_USED_UP;
        }
        return repeats.decide(sendings) ? RetryDecision.ALLOWED : RetryDecision.BUDGET_SPENT;
    }

    void entries(EntryCount counted) {
        entries = counted;
        retries.values().forEach(allowance -> allowance.updateEntryCount(counted.entries()));
        bookings.values().forEach(manager -> manager.entries(counted));
        shareConnections();
    }

    void services(Collection<ServiceRule> rules) {
        services = List.copyOf(rules);
        shareConnections();
    }

    private void shareConnections() {
        EntryCount counted = entries;
        int sharing = counted == null ? 0 : counted.entries();
        for (ServiceRule service : services) {
            directory.maxConnections(service.name(), ConnectionShare.of(service.maxConnections(), sharing));
        }
    }

    RetryAllowance retries(String service) {
        return retries.computeIfAbsent(service, name -> newAllowance());
    }

    private RetryAllowance newAllowance() {
        RetryAllowance allowance =
                new RetryAllowance(settings.retryRatio(), settings.retrySlack(), windowNanos(settings), createdAt);
        EntryCount counted = entries;
        if (counted != null) {
            allowance.updateEntryCount(counted.entries());
        }
        return allowance;
    }

    private static long windowNanos(EntrySettings settings) {
        return TimeUnit.MILLISECONDS.toNanos(settings.retryWindowMillis());
    }

    EarlierWaitEstimator earlierWaits(String route) {
        return earlierWaits.computeIfAbsent(route, name -> new EarlierWaitEstimator());
    }

    /** Starts draining because the process is to stop. Further calls have no effect and do not postpone the end. */
    void startDraining(GracePeriod period) {
        if (grace == null) {
            grace = period;
        }
    }

    boolean draining() {
        return grace != null;
    }

    /**
     * Returns whether a request that begins now ends before this process does: as expected, and late in the grace period by
     * its time limit. Otherwise it would be cut, and its caller could not know whether it has run; if it is refused, the
     * caller can retry elsewhere.
     */
    boolean endsInTime(Exchange exchange, RouteRule route) {
        GracePeriod period = grace;
        if (period == null) {
            return true;
        }
        long remainingMillis = new ForwardedRequest(exchange, protocol, route).remainingMillis();
        long usualMillis = answerTime(route).boundMillis(exchange.facts().estimate(), period.requiredDeviations(now()));
        long boundMillis = Math.min(remainingMillis, usualMillis);
        boolean certain = period.endsForCertain(exchange.arrivedAt(), now(), remainingMillis);
        if (certain && period.accept(now(), boundMillis)) {
            return true;
        }
        logger.atInfo().log(
                "event=refused-leaving request=%s bound_ms=%d limit_ms=%d certain=%s left_ms=%d age_ms=%d",
                exchange.facts().id(),
                boundMillis,
                remainingMillis,
                certain,
                period.remainingMillis(now()),
                exchange.ageMillis());
        return false;
    }

    /** Returns the statistics of the answer times of a route. */
    AnswerTimeModel answerTime(RouteRule route) {
        return answerTimes.computeIfAbsent(route.name(), name -> new AnswerTimeModel());
    }

    BookingManager bookings(String service) {
        return bookings.computeIfAbsent(service, this::newBookingManager);
    }

    private BookingManager newBookingManager(String service) {
        BookingManager manager = new BookingManager(this, service);
        EntryCount counted = entries;
        if (counted != null) {
            manager.entries(counted);
        }
        return manager;
    }

    /** Refuses a request because this entry stops before the request would end. */
    void refuseDraining(Exchange exchange) {
        GracePeriod period = Objects.requireNonNull(grace, "the entry is not draining");
        answerRefused(exchange, STOPS_SOONER, period.retryAfterMillis(now(), random()));
    }

    /** Refuses a request that has not run and will not run, with the time after which to retry. */
    void refuse(Exchange exchange, String why, long retryAfterMillis) {
        GracePeriod period = grace;
        answerRefused(
                exchange,
                why,
                period == null ? retryAfterMillis : period.retryAfterMillis(now(), random(), retryAfterMillis));
    }

    /**
     * Records that a call failed after it was sent. If its connection was lost, the endpoint may have crashed while it ran the
     * request.
     *
     * @param call the kind of call, for the log
     * @param sentAt when the call was sent, in monotonic nanoseconds
     * @param begunAt when its answer began, or 0 if it had not begun
     */
    void recordFailed(
            String call,
            Exchange exchange,
            Endpoint endpoint,
            CallFailure failure,
            RunLog log,
            long sentAt,
            long begunAt) {
        if (failure.kind() == CallFailure.Kind.CONNECTION_LOST && !exchange.ended()) {
            log.runLost(call, endpoint, sentAt, begunAt);
            crashGuard.recordLost(exchange, endpoint);
        }
    }

    /**
     * Refuses a request that is quarantined because endpoints crashed while they ran it, or others with a part of its prompt. It has
     * not run this time.
     */
    void refuseQuarantined(Exchange exchange) {
        long retryAfterMillis = crashGuard.retryAfterMillis(exchange);
        logger.atInfo().log(
                "event=quarantine-refused request=%s retry_after_ms=%d age_ms=%d %s",
                exchange.facts().id(), retryAfterMillis, exchange.ageMillis(), crashGuard.describe(exchange));
        refuse(exchange, crashGuard.suspectsPart(exchange) ? PART_QUARANTINED : QUARANTINED, retryAfterMillis);
    }

    /** Refuses a request because all endpoints that might run it state limits, and none has room in time. */
    void refuseAtLimit(Exchange exchange, String service, long retryAfterMillis, String inputs) {
        logger.atInfo().log(
                "event=limit-refused request=%s service=%s retry_after_ms=%d age_ms=%d %s",
                exchange.facts().id(), service, retryAfterMillis, exchange.ageMillis(), inputs);
        refuse(exchange, ALL_LIMITED, retryAfterMillis);
    }

    private static double random() {
        return ThreadLocalRandom.current().nextDouble();
    }

    /** Refuses a request that exceeds its team's allowance. It has not run and will not run. */
    void refuseLimited(Exchange exchange, long retryAfterMillis) {
        answerNotRun(
                exchange, HttpResponseStatus.TOO_MANY_REQUESTS, "the team's allowance is used up", retryAfterMillis);
    }

    /** Refuses a request without a key that is in force. It has not run and will not run. */
    void refuseUnidentified(Exchange exchange, String why) {
        metrics.requestRefused(why);
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.WWW_AUTHENTICATE, AccessControl.CHALLENGE);
        exchange.answer(HttpResponseStatus.UNAUTHORIZED, why, headers);
    }

    private void answerRefused(Exchange exchange, String why, long retryAfterMillis) {
        answerNotRun(exchange, HttpResponseStatus.SERVICE_UNAVAILABLE, why, retryAfterMillis);
    }

    private void answerNotRun(Exchange exchange, HttpResponseStatus status, String why, long retryAfterMillis) {
        exchange.recordNotRun();
        metrics.requestRefused(why);
        HttpHeaders headers = new DefaultHttpHeaders();
        protocol.setRetryAfter(headers, retryAfterMillis);
        exchange.answer(status, why, headers);
    }

    /** Answers with a failure that does not state whether the request has run. */
    void fail(Exchange exchange, HttpResponseStatus status, String why) {
        exchange.answer(status, why, new DefaultHttpHeaders());
    }
}
