package org.quetzalseam.core.routing;

import java.util.List;

/**
 * A route: which requests it matches and how they are handled. Immutable.
 *
 * @param name the route's name
 * @param host the host it belongs to, in lower case
 * @param pathPrefix prefix of the request path; begins and ends with a slash
 * @param kind whether requests may be repeated, and how answers are delivered
 * @param shares the services that receive its requests, at least one
 * @param maxAttempts maximum number of endpoints that may run one request
 * @param timeoutMillis maximum time until the end of an answer, in milliseconds
 * @param targetLatencyMillis latency objective for the complete answer, or for a stream's first event, in milliseconds
 * @param targetGapMillis latency objective for the longest gap between events of a stream, in milliseconds; 0 if there
 *     is none
 * @param idleTimeoutMillis time that the caller of a stream keeps waiting without an event, including the first, in
 *     milliseconds
 * @param priority priority; 0 is the most urgent
 * @param resumable whether a stream can be resumed at another endpoint
 * @param isPublic whether requests need no API key
 */
public record RouteRule(
        String name,
        String host,
        String pathPrefix,
        CallKind kind,
        List<ServiceShare> shares,
        int maxAttempts,
        long timeoutMillis,
        long targetLatencyMillis,
        long targetGapMillis,
        long idleTimeoutMillis,
        int priority,
        boolean resumable,
        boolean isPublic) {
    /** Checks that there is at least one service and copies the list. */
    public RouteRule {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + ": expected a service, got none");
        }
    }

    /** Returns whether a request that may already have run may be sent again. */
    public boolean mayRepeat() {
        return kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && resumable);
    }

    /** Returns the services that receive requests of the route. */
    public List<String> services() {
        return shares.stream()
                .filter(share -> share.weight() > 0)
                .map(ServiceShare::service)
                .distinct()
                .toList();
    }

    /** Returns whether a service receives requests of the route. */
    public boolean leadsTo(String service) {
        return services().contains(service);
    }

    /** Returns the service for a request, given a uniformly distributed random number from 0 to 1. */
    public String serviceFor(double draw) {
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double remaining = draw * total;
        for (ServiceShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
