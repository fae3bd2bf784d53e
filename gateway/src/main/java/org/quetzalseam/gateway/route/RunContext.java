package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.DefaultHttpHeaders;
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
import org.quetzalseam.core.drain.AnswerTime;
import org.quetzalseam.core.drain.GracePeriod;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.limits.CallerPatience;
import org.quetzalseam.core.limits.ConnectionShare;
import org.quetzalseam.core.limits.RetryAllowance;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.routing.ServiceRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.operator.GatewayMetrics;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.runtime.Subscription;
import org.quetzalseam.gateway.runtime.Timers;

/** What all requests of an entry share. Used on the event loop only. */
final class RunContext {
    /** Why a leaving entry doesn't begin a request. */
    private static final String STOPS_SOONER = "this entry stops before the answer would end";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Timers timers;
    private final Protocol protocol;
    private final Directory directory;
    private final GatewayMetrics metrics;
    private final long createdAt;
    private EntrySettings settings;
    /** The entries that share the site; null until they have been counted. */
    private @Nullable EntryCount entries;

    private @Nullable GracePeriod grace;
    private List<ServiceRule> services = List.of();
    private final Map<String, RetryAllowance> retries = new HashMap<>();
    private final Map<String, CallerPatience> callerWaits = new HashMap<>();
    private final Map<String, AnswerTime> answerTimes = new HashMap<>();
    private final Map<String, BookingManager> bookings = new HashMap<>();

    RunContext(Timers timers, Protocol protocol, Directory directory, EntrySettings settings, GatewayMetrics metrics) {
        this.timers = timers;
        this.protocol = protocol;
        this.directory = directory;
        this.settings = settings;
        this.metrics = metrics;
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
        retries.values()
                .forEach(allowance ->
                        allowance.change(newSettings.retryRatio(), newSettings.retrySlack(), windowNanos(newSettings)));
    }

    GatewayMetrics metrics() {
        return metrics;
    }

    long now() {
        return timers.now();
    }

    Subscription after(long millis, Runnable call) {
        return timers.after(millis, call);
    }

    /** Takes one retry from this entry's share of the budget. Returns false when none is left. */
    boolean acquireRetry(String service) {
        return acquireRetries(service, 1);
    }

    /**
     * Takes what another turn of a generation costs: one retry for its run, and one for the reading of its prompt, as only the
     * first reading of a request is free. Returns false when the budget has less.
     */
    boolean acquireAttempt(String service) {
        return acquireRetries(service, arrivalsPerAttempt(service));
    }

    private int arrivalsPerAttempt(String service) {
        return directory.usable(service, Stage.PREFILL).isEmpty() ? 1 : 2;
    }

    private boolean acquireRetries(String service, int count) {
        boolean allowed = retries(service).retries(now(), count);
        metrics.retry(service, allowed);
        return allowed;
    }

    /** Returns the inputs of a decision on a retry at a service, for the log. */
    String describeBudget(String service) {
        RetryAllowance.Inputs inputs = retries(service).inputs(now());
        EntryCount counted = entries;
        return String.format(
                Locale.ROOT,
                "budget_left=%d budget_requests=%d budget_retries=%d budget_slack=%.1f entries=%d up_ms=%d",
                inputs.left(),
                inputs.requests(),
                inputs.retries(),
                inputs.slack(),
                counted == null ? 0 : counted.entries(),
                TimeUnit.NANOSECONDS.toMillis(inputs.upNanos()));
    }

    /** Decides whether a request that has run so often may be sent again, and takes the retry if so. */
    RetryDecision decideRetry(RouteRule route, String service, int runs) {
        return decideRetry(route, service, runs, 1);
    }

    /** The same for a generation, which takes another turn from booking to decoding. */
    RetryDecision decideAttempt(RouteRule route, String service, int runs) {
        return decideRetry(route, service, runs, arrivalsPerAttempt(service));
    }

    private RetryDecision decideRetry(RouteRule route, String service, int runs, int arrivals) {
        if (!route.mayRepeat()) {
            return RetryDecision.NOT_IDEMPOTENT;
        }
        if (runs >= route.maxAttempts()) {
            return RetryDecision.TRIES_USED_UP;
        }
        return acquireRetries(service, arrivals) ? RetryDecision.ALLOWED : RetryDecision.BUDGET_SPENT;
    }

    void entries(EntryCount counted) {
        entries = counted;
        retries.values().forEach(allowance -> allowance.entries(counted.entries()));
        bookings.values().forEach(desk -> desk.entries(counted));
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
            directory.mostConnections(service.name(), ConnectionShare.of(service.maxConnections(), sharing));
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
            allowance.entries(counted.entries());
        }
        return allowance;
    }

    private static long windowNanos(EntrySettings settings) {
        return TimeUnit.MILLISECONDS.toNanos(settings.retryWindowMillis());
    }

    CallerPatience callerWaits(String route) {
        return callerWaits.computeIfAbsent(route, name -> new CallerPatience());
    }

    /** Notes that the process has been told to stop. Being told again doesn't put the end off. */
    void startDraining(GracePeriod period) {
        if (grace == null) {
            grace = period;
        }
    }

    boolean draining() {
        return grace != null;
    }

    /**
     * Returns whether a request that begins now ends before this process does. One that doesn't would be cut, and its caller
     * couldn't tell whether it has run; refused, it goes elsewhere.
     */
    boolean endsInTime(Exchange exchange, RouteRule route) {
        GracePeriod period = grace;
        if (period == null) {
            return true;
        }
        long remainingMillis = new ForwardedRequest(exchange, protocol, route).remainingMillis();
        long usualMillis = answerTime(route).boundMillis(exchange.facts().estimate(), period.certainty(now()));
        long boundMillis = Math.min(remainingMillis, usualMillis);
        if (period.take(now(), boundMillis)) {
            return true;
        }
        logger.atInfo().log(
                "event=refused-leaving request=%s bound_ms=%d left_ms=%d age_ms=%d",
                exchange.facts().id(), boundMillis, period.leftMillis(now()), exchange.ageMillis());
        return false;
    }

    /** Returns what is known of the time that a route's answers take. */
    AnswerTime answerTime(RouteRule route) {
        return answerTimes.computeIfAbsent(route.name(), name -> new AnswerTime());
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

    /** Refuses a request because this entry stops before it would end. */
    void refuseDraining(Exchange exchange) {
        GracePeriod period = Objects.requireNonNull(grace, "not leaving");
        answerRefused(exchange, STOPS_SOONER, period.comeBackMillis(now(), random()));
    }

    /** Refuses a request that has not run and won't, and says when to come back. */
    void refuse(Exchange exchange, String why, long retryAfterMillis) {
        GracePeriod period = grace;
        answerRefused(
                exchange,
                why,
                period == null ? retryAfterMillis : period.comeBackMillis(now(), random(), retryAfterMillis));
    }

    private static double random() {
        return ThreadLocalRandom.current().nextDouble();
    }

    private void answerRefused(Exchange exchange, String why, long retryAfterMillis) {
        metrics.refused(why);
        HttpHeaders headers = new DefaultHttpHeaders();
        protocol.setRetryAfter(headers, retryAfterMillis);
        exchange.answer(HttpResponseStatus.SERVICE_UNAVAILABLE, why, headers);
    }

    /** Tells of a failure that says nothing of whether the request has run. */
    void fail(Exchange exchange, HttpResponseStatus status, String why) {
        exchange.answer(status, why, new DefaultHttpHeaders());
    }
}
