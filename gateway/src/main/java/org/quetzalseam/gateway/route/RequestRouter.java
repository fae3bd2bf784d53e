package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.drain.GracePeriod;
import org.quetzalseam.core.routing.CallKind;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.routing.RouteTable;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.operator.GatewayMetrics;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.KindFreshness;
import org.quetzalseam.gateway.store.ObjectStore;

/** Finds the route of each request and starts its run. Used on the event loop only. */
public final class RequestRouter {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /**
     * Retry-after time while the entry does not know its routes yet, in milliseconds: about the time that it needs to
     * start.
     */
    private static final long STARTING_RETRY_AFTER_MILLIS = 500;
    /**
     * Retry-after time while the entry cannot know whether a route exists, in milliseconds: it asks the store several times
     * a second.
     */
    private static final long IN_DOUBT_RETRY_AFTER_MILLIS = 500;

    private final RunContext context;
    private final WaitingRequests earlyRequests;
    private final WaitingRequests requestsInDoubt;
    private @Nullable RouteTable routes;
    private @Nullable KindFreshness knowledge;

    /** Creates a router that knows no routes yet. */
    public RequestRouter(
            Timers timers, Protocol protocol, Directory directory, EntrySettings settings, GatewayMetrics metrics) {
        this.context = new RunContext(timers, protocol, directory, settings, metrics);
        this.earlyRequests = new WaitingRequests(context, this::refuseEarly);
        this.requestsInDoubt = new WaitingRequests(context, this::refuseInDoubt);
    }

    /** Puts a version of the desired state in force, unless it is not newer than the one in force. */
    public void update(RouteTable table) {
        RouteTable present = routes;
        if (present != null && present.version() >= table.version()) {
            logger.atInfo().log("event=desired-state-kept version=%d offered=%d", present.version(), table.version());
            return;
        }
        routes = table;
        context.services(table.services());
        logger.atInfo().log("event=desired-state version=%d routes=%d", table.version(), table.routeCount());
        routeEarlyRequests();
    }

    /** Sets the source that states how current the known desired state is. */
    public void knowledge(KindFreshness desiredState) {
        knowledge = desiredState;
    }

    /** Applies settings that were read again. */
    public void update(EntrySettings settings) {
        context.settings(settings);
    }

    /** Sets the number of entries that share the site's budgets, and this entry's rank. */
    public void entries(EntryCount counted) {
        context.entries(counted);
    }

    /** Returns the version of the desired state in force, 0 before the first. */
    public long version() {
        RouteTable table = routes;
        return table == null ? 0 : table.version();
    }

    /** Starts to share with other entries which requests have crashed endpoints. */
    public void shareCrashes(ObjectStore store) {
        context.directory().onUnplannedEnd(context.crashGuard()::recordEndpointEnded);
        context.metrics().gauge("quetzalseam.requests.suspected", context.crashGuard()::suspects);
        context.crashGuard().start(store, context.settings().firstStart(), this::routeEarlyRequests);
    }

    /** Returns whether the entry can serve requests: it knows its routes, its endpoints and what crashed them. */
    public boolean ready() {
        return routes != null
                && context.directory().loaded()
                && context.crashGuard().loaded();
    }

    /** Returns the limits on what callers may send. */
    public CallerLimits limits() {
        RouteTable table = routes;
        return table == null ? CallerLimits.DEFAULT : table.limits();
    }

    /** Starts draining: from now on accepts only requests that can end within the grace period. */
    public void startDraining(GracePeriod period) {
        context.startDraining(period);
        earlyRequests.refuseAll();
        requestsInDoubt.refuseAll();
    }

    /** Routes a request and has it answered. */
    public void route(Exchange exchange) {
        RouteTable table = routes;
        if (table == null || !ready()) {
            // A process that has just started gets requests before the first response from the store. It holds
            // them briefly, so that the callers need not retry.
            earlyRequests.add(exchange);
            return;
        }
        String host = exchange.request().headers().get(HttpHeaderNames.HOST, "");
        Optional<RouteRule> found = table.find(host, exchange.request().uri());
        if (found.isEmpty()) {
            handleMissingRoute(exchange, host, table.version());
            return;
        }
        start(exchange, found.get(), table.version());
    }

    /**
     * Answers that there is no route only if the newest state is known, because a route may have been added since the last
     * response of the store.
     */
    private void handleMissingRoute(Exchange exchange, String host, long version) {
        KindFreshness currentKnowledge = knowledge;
        if (currentKnowledge != null && !currentKnowledge.current()) {
            requestsInDoubt.add(exchange);
            currentKnowledge.refresh(() -> resolveDoubts(currentKnowledge.current()));
            return;
        }
        logger.atInfo().log(
                "event=no-route request=%s host=%s version=%d %s",
                exchange.facts().id(), host, version, describeKnowledge());
        context.fail(exchange, HttpResponseStatus.NOT_FOUND, "no route");
    }

    private void resolveDoubts(boolean current) {
        if (current) {
            requestsInDoubt.removeAll().forEach(this::route);
        } else {
            requestsInDoubt.refuseAll();
        }
    }

    private void refuseInDoubt(Exchange exchange) {
        logger.atInfo().log(
                "event=route-in-doubt request=%s version=%d %s",
                exchange.facts().id(), version(), describeKnowledge());
        context.refuse(exchange, "it can't be known now whether there is such a route", IN_DOUBT_RETRY_AFTER_MILLIS);
    }

    private String describeKnowledge() {
        KindFreshness currentKnowledge = knowledge;
        return currentKnowledge == null
                ? "word_age_ms=0"
                : String.format(
                        Locale.ROOT,
                        "word_age_ms=%d era=%d revision=%d",
                        currentKnowledge.ageMillis(),
                        currentKnowledge.position().era(),
                        currentKnowledge.position().revision());
    }

    private void refuseEarly(Exchange exchange) {
        logger.atInfo().log("event=refused-early request=%s", exchange.facts().id());
        context.refuse(exchange, "not ready yet", STARTING_RETRY_AFTER_MILLIS);
    }

    /** Routes the requests that arrived before the routes and the endpoints were known. Call it when either becomes known. */
    public void routeEarlyRequests() {
        if (ready()) {
            earlyRequests.removeAll().forEach(this::route);
        }
    }

    private void start(Exchange exchange, RouteRule route, long version) {
        if (!context.endsInTime(exchange, route)) {
            context.refuseDraining(exchange);
            return;
        }
        String service = route.serviceFor(ThreadLocalRandom.current().nextDouble());
        context.retries(service).recordRequest(context.now());
        RunLog log = new RunLog(context.metrics(), exchange, route, service, version);
        context.crashGuard().admit(exchange, () -> run(exchange, route, service, log), () -> {
            log.ended("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code(), 0);
            context.refuseQuarantined(exchange);
        });
    }

    private void run(Exchange exchange, RouteRule route, String service, RunLog log) {
        if (route.kind() == CallKind.STREAM) {
            new GenerationRun(context, exchange, route, service, log).start();
        } else {
            new ServiceRun(context, exchange, route, service, log).start();
        }
    }
}
