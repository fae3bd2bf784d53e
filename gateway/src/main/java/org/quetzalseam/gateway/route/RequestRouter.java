package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.access.Team;
import org.quetzalseam.core.drain.GracePeriod;
import org.quetzalseam.core.routing.CallKind;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.routing.RouteTable;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.access.AccessControl;
import org.quetzalseam.gateway.access.AccessDecision;
import org.quetzalseam.gateway.access.SharedProof;
import org.quetzalseam.gateway.access.TeamAllowances;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.dispatch.Dispatchers;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.limit.EndpointLimits;
import org.quetzalseam.gateway.operator.GatewayMetrics;
import org.quetzalseam.gateway.peer.CrashListener;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.peer.ProvedState;
import org.quetzalseam.gateway.protocol.Protocol;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.KindFreshness;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.stream.NotedOrigins;
import org.quetzalseam.gateway.stream.SharedBuilds;
import org.quetzalseam.gateway.stream.SharedOrigins;

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

    /** A request may wait for units of its team's allowance for this part of its latency objective. */
    private static final long ALLOWANCE_WAIT_DIVISOR = 4;

    private final RunContext context;
    private final AccessControl accessControl;
    private final TeamAllowances allowances;
    private final SharedProof proof;
    private final SharedOrigins origins;
    private final TakenUpStreams takenUpStreams;
    private final SharedBuilds builds;
    private final NotedOrigins notedOrigins;
    private final WaitingRequests earlyRequests;
    private final WaitingRequests requestsInDoubt;
    private final WaitingRequests keysInDoubt;
    private @Nullable RouteTable routes;
    private @Nullable KindFreshness knowledge;

    /** Creates a router that knows no routes yet. */
    public RequestRouter(
            Timers timers,
            Protocol protocol,
            Directory directory,
            EntrySettings settings,
            GatewayMetrics metrics,
            AccessControl accessControl,
            TeamAllowances allowances,
            Peers peers) {
        this.context = new RunContext(timers, protocol, directory, settings, metrics, peers);
        this.origins = new SharedOrigins(timers, peers);
        this.builds = new SharedBuilds(timers, directory.buildHistory(), this::takeUpWindowNanos);
        this.notedOrigins =
                new NotedOrigins(timers, directory.buildHistory(), this::takeUpWindowNanos, settings.name());
        origins.noteIn(notedOrigins);
        this.takenUpStreams = new TakenUpStreams(context, origins, notedOrigins, directory.buildHistory());
        this.accessControl = accessControl;
        this.allowances = allowances;
        this.proof = new SharedProof(timers, peers, this::version, this::requiresKeys);
        this.earlyRequests = new WaitingRequests(context, this::refuseEarly);
        this.requestsInDoubt = new WaitingRequests(context, this::refuseInDoubt);
        this.keysInDoubt = new WaitingRequests(context, this::refuseKeyInDoubt);
    }

    /** Puts a version of the desired state in force, unless it is not newer than the one in force. */
    public void update(RouteTable table) {
        RouteTable present = routes;
        if (present != null && present.version() >= table.version()) {
            logger.atInfo().log("event=desired-state-kept version=%d offered=%d", present.version(), table.version());
            return;
        }
        routes = table;
        takenUpStreams.record(table, takeUpWindowNanos());
        context.services(table.services());
        allowances.update(table.access());
        logger.atInfo().log(
                "event=desired-state version=%d routes=%d teams=%d keys=%d",
                table.version(),
                table.routeCount(),
                table.access().names().size(),
                table.access().keys());
        routeEarlyRequests();
    }

    /** Sets the source that states how current the known desired state is. */
    public void knowledge(KindFreshness desiredState) {
        knowledge = desiredState;
        proof.start(desiredState);
        takenUpStreams.desiredState(desiredState);
    }

    /** Returns what decides on requests to endpoints that state limits. */
    public EndpointLimits endpointLimits() {
        return context.endpointLimits();
    }

    /** Returns what asks for places at endpoints, and gives these as a dispatcher. */
    public Dispatchers dispatchers() {
        return context.dispatchers();
    }

    /** Returns where streams began, as this entry and the others know it. */
    public SharedOrigins origins() {
        return origins;
    }

    /** Returns the estimated memory of what earlier desired states differed in, in bytes. */
    public long routeHistoryBytes() {
        return takenUpStreams.historyBytes();
    }

    private long takeUpWindowNanos() {
        RouteTable table = routes;
        return TakenUpStreams.windowNanos(table == null ? 0 : table.longestResumableMillis());
    }

    /** Returns which builds have served, as the entries note it in the store. */
    public SharedBuilds builds() {
        return builds;
    }

    /** Returns where streams began, as the entries note it in the store. */
    public NotedOrigins notedOrigins() {
        return notedOrigins;
    }

    /** Sets the source that states how current the known endpoints are. */
    public void endpointKnowledge(KindFreshness endpoints) {
        takenUpStreams.knowledge(endpoints);
        builds.knowledge(endpoints);
    }

    /** Applies settings that were read again. */
    public void update(EntrySettings settings) {
        context.settings(settings);
    }

    /** Sets the number of entries that share the site's budgets, and this entry's rank. */
    public void entries(EntryCount counted) {
        context.entries(counted);
        builds.rank(counted.rank());
        notedOrigins.entries(counted.entries());
    }

    /** Returns what this entry knows of the desired state from the store itself. */
    public ProvedState provedState() {
        return proof.ownState();
    }

    /** Returns the version of the desired state in force, 0 before the first. */
    public long version() {
        RouteTable table = routes;
        return table == null ? 0 : table.version();
    }

    private boolean requiresKeys() {
        RouteTable table = routes;
        return table != null && table.access().required();
    }

    /** Returns what receives the crashes that other entries tell of. */
    public CrashListener crashListener() {
        return context.crashGuard();
    }

    /** Starts to share with other entries which requests have crashed endpoints. */
    public void shareCrashes(ObjectStore store) {
        context.directory().onUnplannedEnd(context.crashGuard()::recordEndpointEnded);
        context.metrics().gauge("quetzalseam.requests.suspected", context.crashGuard()::suspectRequests);
        context.metrics().gauge("quetzalseam.parts.suspected", context.crashGuard()::suspectParts);
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
        context.crashGuard().startDraining();
        context.dispatchers().startDraining();
        origins.handOver();
        earlyRequests.refuseAll();
        requestsInDoubt.refuseAll();
        keysInDoubt.refuseAll();
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
        identify(exchange, found.get(), table);
    }

    /** Finds the team that makes a request, and refuses the request if it has no key that is in force. */
    private void identify(Exchange exchange, RouteRule route, RouteTable table) {
        KindFreshness currentKnowledge = knowledge;
        boolean newest = currentKnowledge == null || currentKnowledge.current();
        AccessDecision decision =
                accessControl.decide(table.access(), route, exchange.request().headers(), newest, proof.ageMillis());
        switch (decision.verdict()) {
            case ALLOWED -> {
                if (table.access().required()) {
                    Team team = decision.team();
                    exchange.identify(team);
                }
                start(exchange, route, table, decision.team());
            }
            case DENIED -> {
                logger.atInfo().log(
                        "event=key-rejected request=%s route=%s reason=\"%s\" version=%d %s",
                        exchange.facts().id(), route.name(), decision.reason(), table.version(), describeKnowledge());
                context.metrics().keyRejected(decision.reason());
                context.refuseUnidentified(exchange, decision.reason());
            }
            case IN_DOUBT -> {
                keysInDoubt.add(exchange);
                KindFreshness doubted = Objects.requireNonNull(knowledge, "without freshness there is no doubt");
                doubted.refresh(() -> resolveDoubts(doubted.current()));
            }
        }
    }

    private void refuseKeyInDoubt(Exchange exchange) {
        logger.atInfo().log(
                "event=key-in-doubt request=%s version=%d proof_age_ms=%d age_ms=%d %s",
                exchange.facts().id(), version(), proof.ageMillis(), exchange.ageMillis(), describeKnowledge());
        context.refuse(exchange, "it can't be known now whether the key is in force", IN_DOUBT_RETRY_AFTER_MILLIS);
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
            keysInDoubt.removeAll().forEach(this::route);
        } else {
            requestsInDoubt.refuseAll();
            keysInDoubt.refuseAll();
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
        return currentKnowledge == null ? "word_age_ms=0" : currentKnowledge.describe();
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

    private void start(Exchange exchange, RouteRule route, RouteTable table, @Nullable Team team) {
        if (!context.endsInTime(exchange, route)) {
            context.refuseDraining(exchange);
            return;
        }
        if (team == null) {
            startAdmitted(exchange, route, table.version());
            return;
        }
        allowances.admit(
                team,
                exchange,
                route.targetLatencyMillis() / ALLOWANCE_WAIT_DIVISOR,
                () -> {
                    context.metrics().teamRequest(team.name(), true);
                    startAdmitted(exchange, route, table.version());
                },
                (retryAfterMillis, inputs) -> {
                    context.metrics().teamRequest(team.name(), false);
                    logger.atInfo().log(
                            "event=allowance-exceeded request=%s route=%s version=%d retry_after_ms=%d age_ms=%d %s",
                            exchange.facts().id(),
                            route.name(),
                            table.version(),
                            retryAfterMillis,
                            exchange.ageMillis(),
                            inputs);
                    context.refuseLimited(exchange, retryAfterMillis);
                });
    }

    private void startAdmitted(Exchange exchange, RouteRule route, long version) {
        if (route.kind() == CallKind.STREAM && exchange.facts().takesStreamUp()) {
            takenUpStreams.locate(
                    exchange, route, origin -> startAt(exchange, route, origin.service(), origin, version));
        } else {
            startAt(
                    exchange,
                    route,
                    route.serviceFor(ThreadLocalRandom.current().nextDouble()),
                    null,
                    version);
        }
    }

    private void startAt(
            Exchange exchange, RouteRule route, String service, @Nullable StreamOrigin origin, long version) {
        context.retries(service).recordRequest(context.now());
        RunLog log = new RunLog(context.metrics(), exchange, route, service, version);
        context.crashGuard().admit(exchange, () -> run(exchange, route, service, origin, log), () -> {
            log.ended("refused", HttpResponseStatus.SERVICE_UNAVAILABLE.code(), 0);
            context.refuseQuarantined(exchange);
        });
    }

    private void run(Exchange exchange, RouteRule route, String service, @Nullable StreamOrigin origin, RunLog log) {
        if (route.kind() == CallKind.STREAM) {
            StreamBinding binding = new StreamBinding(context.directory(), origins, exchange, route, origin);
            new GenerationRun(context, exchange, route, service, binding, log).start();
        } else {
            new ServiceRun(context, exchange, route, service, log).start();
        }
    }
}
