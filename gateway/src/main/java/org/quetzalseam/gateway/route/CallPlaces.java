package org.quetzalseam.gateway.route;

import com.google.common.flogger.FluentLogger;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.dispatch.PlaceRequest;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.dispatch.PlaceSearch;
import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * The places that one call of a plain service gets, one after the other, where a dispatcher decides for the service. Used on the event
 * loop only.
 */
final class CallPlaces {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Reason given when a request is refused because its dispatcher has no place for it. */
    static final String NO_PLACE = "no place at the service in time";
    /** Shortest retry-after time of a refused request, in milliseconds, as for endpoints that state limits. */
    private static final long MIN_RETRY_AFTER_MILLIS = 50;

    /** Receives the decisions. */
    interface Listener {
        /** Called with the endpoint, to which the request must be sent at once. */
        void granted(Endpoint endpoint);

        /** Called when the request gets no place. */
        void refused(long retryAfterMillis);

        /** Called when the request is to be sent without a place. */
        void undecided();
    }

    private final RunContext context;
    private final Exchange exchange;
    private final RouteRule route;
    private final String service;
    private final ForwardedRequest forwarded;
    private final Listener listener;
    private long earlierAttemptsMillis = -1;
    private @Nullable PlaceSearch search;

    CallPlaces(
            RunContext context,
            Exchange exchange,
            RouteRule route,
            String service,
            ForwardedRequest forwarded,
            Listener listener) {
        this.context = context;
        this.exchange = exchange;
        this.route = route;
        this.service = service;
        this.forwarded = forwarded;
        this.listener = listener;
    }

    /** Returns whether a dispatcher decides for the service. */
    boolean dispatched() {
        return context.dispatchers().dispatched(service);
    }

    /** Asks for a place at an endpoint that has not been tried, as long as there is one. */
    void ask(Set<Endpoint> tried) {
        PlaceSearch newSearch = context.dispatchers().search(service, request(tried), new Decision());
        search = newSearch;
        newSearch.start();
    }

    private PlaceRequest request(Set<Endpoint> tried) {
        if (earlierAttemptsMillis < 0) {
            earlierAttemptsMillis = context.earlierWaits(route.name())
                    .estimateMillis(exchange.facts().callerTimeoutMillis());
        }
        long inTimeMillis = route.targetLatencyMillis() - exchange.ageMillis() - earlierAttemptsMillis;
        String team = exchange.team();
        return new PlaceRequest(
                context.dispatchers().newTicket(),
                exchange.teamPriority(),
                route.priority(),
                team == null ? "" : team,
                TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis()),
                TimeUnit.MILLISECONDS.toNanos(inTimeMillis),
                TimeUnit.MILLISECONDS.toNanos(forwarded.remainingMillis()),
                TimeUnit.MILLISECONDS.toNanos(earlierAttemptsMillis),
                0,
                excluded(tried));
    }

    private Set<String> excluded(Set<Endpoint> tried) {
        Set<Endpoint> untried = new HashSet<>(context.directory().usable(service, Stage.WHOLE));
        untried.removeAll(tried);
        return untried.isEmpty()
                ? Set.of()
                : tried.stream().map(endpoint -> endpoint.member().id()).collect(Collectors.toSet());
    }

    /** Reports how the use of the present place ended; does nothing without one. */
    void ended(PlaceOutcome outcome, long responseNanos) {
        PlaceSearch present = search;
        if (present != null) {
            present.ended(outcome, responseNanos);
        }
    }

    /** Drops the request for a place, or the place. */
    void cancel() {
        PlaceSearch present = search;
        if (present != null) {
            present.cancel();
        }
    }

    private final class Decision implements PlaceSearch.Listener {
        @Override
        public void granted(Incarnation incarnation) {
            Optional<Endpoint> endpoint = context.directory()
                    .find(incarnation)
                    .filter(found -> context.directory().usable(found)
                            && found.hasFreeConnection()
                            && !found.limits().limited());
            if (endpoint.isPresent()) {
                listener.granted(endpoint.get());
            } else {
                ended(PlaceOutcome.NOT_SENT, 0);
                sendWithoutPlace("why=endpoint-not-usable endpoint=" + incarnation.id());
            }
        }

        @Override
        public void refused(long retryAfterMillis, String inputs) {
            long returnMillis = Math.max(MIN_RETRY_AFTER_MILLIS, retryAfterMillis);
            logger.atInfo().log(
                    "event=place-refused request=%s service=%s retry_after_ms=%d spent_before_ms=%d age_ms=%d %s",
                    exchange.facts().id(), service, returnMillis, earlierAttemptsMillis, exchange.ageMillis(), inputs);
            listener.refused(returnMillis);
        }

        @Override
        public void undecided(String inputs) {
            sendWithoutPlace(inputs);
        }

        private void sendWithoutPlace(String inputs) {
            logger.atInfo().log(
                    "event=place-undecided request=%s service=%s age_ms=%d %s",
                    exchange.facts().id(), service, exchange.ageMillis(), inputs);
            listener.undecided();
        }
    }
}
