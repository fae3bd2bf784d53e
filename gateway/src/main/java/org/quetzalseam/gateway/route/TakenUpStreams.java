package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.routing.RouteHistory;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.routing.RouteTable;
import org.quetzalseam.core.stream.BuildHistory;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.store.KindFreshness;
import org.quetzalseam.gateway.stream.NotedOrigins;
import org.quetzalseam.gateway.stream.OriginFinding;
import org.quetzalseam.gateway.stream.SharedOrigins;

/**
 * Decides where streams go on that callers take up. A stream goes on at the service and build that began it, as the entries' records
 * state. Without a record, it goes on only if one build has served the services to which the route led for as long as a stream may
 * last, by lists of the endpoints and routes that are proved to be as recent as the request, or where an entry has noted in the
 * store; else the caller is refused and may begin anew.
 *
 * <p>Older callers do not name the attempt that began their stream, so that no record can be found. They go on under the same
 * condition. Used on the event loop only.
 */
final class TakenUpStreams {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Reason given when no entry knows where a stream began. */
    private static final String NO_RECORD = "it isn't known now which build began the stream";
    /** Reason given when a caller does not name the attempt that began its stream, and there are several builds. */
    private static final String NOT_NAMED = "the request does not name the attempt that began the stream";
    /** Reason given when the route no longer leads to the service that began a stream. */
    private static final String OTHER_SERVICE = "the route no longer leads to the service that began the stream";
    /** Retry-after time of these refusals, in milliseconds: by then an entry that did not answer may do so. */
    private static final long RETRY_AFTER_MILLIS = 500;
    /** Shortest time for which builds are remembered, in milliseconds: a timeout may have been longer when a stream began. */
    private static final long MIN_WINDOW_MILLIS = 60_000;
    /** Multiple of a route's timeout in that time: a stream may break off at its end and be taken up for as long again. */
    private static final long WINDOW_TIMEOUTS = 2;

    /** Most memory for what earlier desired states differed in, in bytes: a part of 24 of the heap as deployed. */
    private static final long MAX_HISTORY_BYTES = 4 * 1024 * 1024;

    private final RunContext context;
    private final SharedOrigins origins;
    private final NotedOrigins notes;
    private final BuildHistory builds;
    private final RouteHistory routes = new RouteHistory(MAX_HISTORY_BYTES);
    private @Nullable KindFreshness endpoints;
    private @Nullable KindFreshness desiredState;

    TakenUpStreams(RunContext context, SharedOrigins origins, NotedOrigins notes, BuildHistory builds) {
        this.context = context;
        this.origins = origins;
        this.notes = notes;
        this.builds = builds;
    }

    /** Sets the source that states how current the known endpoints are. */
    void knowledge(KindFreshness knownEndpoints) {
        endpoints = knownEndpoints;
    }

    /** Sets the source that states how current the known desired state is. */
    void desiredState(KindFreshness knownState) {
        desiredState = knownState;
    }

    /** Records a desired state that comes into force. */
    void record(RouteTable table, long window) {
        if (routes.record(table, window, context.now())) {
            logger.atWarning().log(
                    "event=route-history-dropped version=%d max_bytes=%d window_ms=%d",
                    table.version(), MAX_HISTORY_BYTES, TimeUnit.NANOSECONDS.toMillis(window));
        }
    }

    /** Returns the estimated memory of what earlier desired states differed in, in bytes. */
    long historyBytes() {
        return routes.bytes();
    }

    /** Calls {@code goOn} with where the stream may go on, or refuses the request. */
    void locate(Exchange exchange, RouteRule route, Consumer<StreamOrigin> goOn) {
        String begunBy = exchange.facts().begunBy();
        if (begunBy == null) {
            locateWithoutRecord(exchange, route, OriginFinding.NOT_ASKED, goOn);
            return;
        }
        origins.find(begunBy, finding -> {
            if (!exchange.ended()) {
                located(exchange, route, finding, goOn);
            }
        });
    }

    private void located(Exchange exchange, RouteRule route, OriginFinding finding, Consumer<StreamOrigin> goOn) {
        Optional<StreamOrigin> origin = finding.origin();
        if (origin.isEmpty()) {
            locateWithoutRecord(exchange, route, finding, goOn);
        } else if (route.leadsTo(origin.get().service())) {
            goOn(exchange, route, "record", finding, origin.get(), goOn);
        } else {
            refuse(exchange, route, OTHER_SERVICE, finding);
        }
    }

    private void locateWithoutRecord(
            Exchange exchange, RouteRule route, OriginFinding finding, Consumer<StreamOrigin> goOn) {
        boolean named = exchange.facts().begunBy() != null;
        String why = named ? NO_RECORD : NOT_NAMED;
        KindFreshness known = endpoints;
        List<String> services = route.services();
        if (known == null || services.size() != 1) {
            locateByNotes(exchange, route, why, finding, goOn);
            return;
        }
        known.refreshSince(
                exchange::ageMillis,
                proved -> proveRoutes(exchange, proved, allProved -> {
                    String service = services.get(0);
                    Optional<String> only = allProved ? onlyBuild(exchange, route, service) : Optional.empty();
                    only.ifPresentOrElse(
                            build -> goOn(
                                    exchange,
                                    route,
                                    named ? "only-build" : "not-named",
                                    finding,
                                    StreamOrigin.atBuild(service, build),
                                    goOn),
                            () -> locateByNotes(exchange, route, why, finding, goOn));
                }));
    }

    /** Decides by what the entries have noted in the store, which is all that is left after all of them were killed. */
    private void locateByNotes(
            Exchange exchange, RouteRule route, String why, OriginFinding finding, Consumer<StreamOrigin> goOn) {
        String begunBy = exchange.facts().begunBy();
        if (begunBy == null) {
            refuse(exchange, route, why, finding);
            return;
        }
        notes.find(begunBy, noted -> {
            Optional<StreamOrigin> origin = noted.origin();
            if (exchange.ended()) {
                return;
            }
            if (origin.isEmpty()) {
                refuse(exchange, route, why, finding);
            } else if (route.leadsTo(origin.get().service())) {
                goOn(exchange, route, "noted", noted, origin.get(), goOn);
            } else {
                refuse(exchange, route, OTHER_SERVICE, noted);
            }
        });
    }

    /** Asks for the newest desired state, too: it may lead to other services, where other entries have begun streams. */
    private void proveRoutes(Exchange exchange, boolean endpointsProved, Consumer<Boolean> proved) {
        Consumer<Boolean> unlessEnded = routesProved -> {
            if (!exchange.ended()) {
                proved.accept(endpointsProved && routesProved);
            }
        };
        KindFreshness state = desiredState;
        if (state == null || !endpointsProved) {
            unlessEnded.accept(false);
        } else {
            state.refreshSince(exchange::ageMillis, unlessEnded);
        }
    }

    /** Returns the only build that has served any of the services to which the request's path led lately. */
    private Optional<String> onlyBuild(Exchange exchange, RouteRule route, String service) {
        String host = exchange.request().headers().get(HttpHeaderNames.HOST, "");
        String target = exchange.request().uri();
        long now = context.now();
        long window = windowNanos(route);
        if (!routes.complete(window, now)
                || routes.newest(host, target)
                        .filter(rule -> rule.leadsTo(service))
                        .isEmpty()) {
            return Optional.empty();
        }
        return builds.onlyBuild(service, window, now)
                .filter(build -> routes.services(host, target, window, now).stream()
                        .allMatch(other -> builds.noneBut(build, other, window, now)));
    }

    private static long windowNanos(RouteRule route) {
        return windowNanos(route.timeoutMillis());
    }

    /** Returns for how long builds are remembered, in nanoseconds, where streams may last for the given time. */
    static long windowNanos(long timeoutMillis) {
        return TimeUnit.MILLISECONDS.toNanos(Math.max(MIN_WINDOW_MILLIS, WINDOW_TIMEOUTS * timeoutMillis));
    }

    private void goOn(
            Exchange exchange,
            RouteRule route,
            String by,
            OriginFinding finding,
            StreamOrigin origin,
            Consumer<StreamOrigin> goOn) {
        log(exchange, route, by, finding);
        goOn.accept(origin);
    }

    private void refuse(Exchange exchange, RouteRule route, String why, OriginFinding finding) {
        log(exchange, route, "refused", finding);
        context.refuse(exchange, why, RETRY_AFTER_MILLIS);
    }

    private void log(Exchange exchange, RouteRule route, String outcome, OriginFinding finding) {
        context.metrics().streamTakenUp(route.name(), outcome);
        KindFreshness known = endpoints;
        logger.atInfo().log(
                "event=stream-taken-up request=%s begun_by=%s after=%s route=%s outcome=%s %s builds=%s"
                        + " served=%s path_services=%s path_services_complete=%s known_ms=%d list_age_ms=%d age_ms=%d",
                exchange.facts().id(),
                exchange.facts().begunBy(),
                exchange.facts().resumesAfter(),
                route.name(),
                outcome,
                finding.describe(),
                route.services().stream()
                        .flatMap(service -> context.directory().builds(service).stream())
                        .toList(),
                route.services().stream()
                        .flatMap(service -> builds.builds(service, windowNanos(route), context.now()).stream())
                        .toList(),
                routes.services(
                        exchange.request().headers().get(HttpHeaderNames.HOST, ""),
                        exchange.request().uri(),
                        windowNanos(route),
                        context.now()),
                routes.complete(windowNanos(route), context.now()),
                TimeUnit.NANOSECONDS.toMillis(builds.knownNanos(context.now())),
                known == null ? 0 : known.ageMillis(),
                exchange.ageMillis());
    }
}
