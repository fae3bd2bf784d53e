package org.quetzalseam.core.routing;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The versions of the desired state that were in force lately, as this process received them: to which services requests may have
 * been sent. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class RouteHistory {
    private final List<Version> versions = new ArrayList<>();

    private record Version(RouteTable table, long inForceSince) {}

    /** Records a version that comes into force, and forgets those that were replaced longer ago than the given time. */
    public void record(RouteTable table, long window, long now) {
        versions.add(new Version(table, now));
        versions.subList(0, firstInForce(window, now)).clear();
    }

    /** Returns the index of the earliest version that was in force at any moment of the given time. */
    private int firstInForce(long window, long now) {
        int first = 0;
        while (first + 1 < versions.size() && now - versions.get(first + 1).inForceSince() > window) {
            first++;
        }
        return first;
    }

    /** Returns the route of a request to a target in the newest version. */
    public Optional<RouteRule> newest(String host, String target) {
        return versions.isEmpty()
                ? Optional.empty()
                : versions.get(versions.size() - 1).table().find(host, target);
    }

    /**
     * Returns the services to which requests to a target may have been sent in the given time.
     *
     * @param host the request's host, with or without a port
     * @param target the request target: a path, with or without a query
     */
    public Set<String> services(String host, String target, long window, long now) {
        Set<String> services = new LinkedHashSet<>();
        for (Version version : versions.subList(firstInForce(window, now), versions.size())) {
            version.table().find(host, target).ifPresent(route -> services.addAll(route.services()));
        }
        return services;
    }
}
