package org.quetzalseam.core.routing;

import java.util.List;

/**
 * One route: the requests it takes and how they are treated. Immutable.
 *
 * @param name the route's name
 * @param host the host it belongs to, in lower case
 * @param pathPrefix what a request's path begins with; begins and ends with a slash
 * @param kind what may be repeated
 * @param shares the services that take its requests, at least one
 * @param maxAttempts the most endpoints that may run one request
 * @param timeoutMillis how long a caller may be kept waiting for the end of an answer
 * @param targetLatencyMillis latency objective: to the whole answer, or to a stream's first event
 * @param targetGapMillis latency objective of a stream's further events: the longest pause; 0 where there is none
 * @param idleTimeoutMillis how long a stream's caller stays without an event, also without the first
 * @param priority rank, 0 is the most urgent
 * @param resumable whether a stream can go on at another endpoint
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
        boolean resumable) {
    /** Creates a route and checks that it leads somewhere. */
    public RouteRule {
        shares = List.copyOf(shares);
        if (shares.isEmpty()) {
            throw new IllegalArgumentException("route " + name + ": expected a service, got none");
        }
    }

    /** Returns whether a request that may have run can be sent again. */
    public boolean mayRepeat() {
        return kind == CallKind.IDEMPOTENT || (kind == CallKind.STREAM && resumable);
    }

    /** Returns the service for a request, given a number drawn evenly from 0 to 1. */
    public String serviceFor(double draw) {
        double total = shares.stream().mapToDouble(ServiceShare::weight).sum();
        double left = draw * total;
        for (ServiceShare share : shares) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }
}
