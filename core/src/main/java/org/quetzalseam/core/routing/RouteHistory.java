package org.quetzalseam.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * To which services requests may have been sent lately, by the versions of the desired state that this process had in force. Keeps the
 * newest version and what differed from it, in a bounded amount of memory: beyond it, all that differed is forgotten, and the history is
 * incomplete for as long as that would have counted. Not thread-safe. Times are monotonic nanoseconds.
 */
public final class RouteHistory {
    /** Memory of an entry without its texts, in bytes: map nodes, key and object headers. */
    private static final long BYTES_PER_ROUTE = 250;

    private static final long BYTES_PER_SERVICE = 150;

    private final long maxBytes;
    private final Map<RouteKey, FormerRoute> former = new HashMap<>();
    private @Nullable RouteTable newest;
    private long bytes;
    private boolean everForgotten;
    private long forgottenAt;

    private record RouteKey(String host, String pathPrefix) {
        long bytes() {
            return BYTES_PER_ROUTE + host.length() + pathPrefix.length();
        }
    }

    /** What a route was before the newest version: the services that it led to until some time, and until when it was missing. */
    private static final class FormerRoute {
        private final Map<String, Long> lastInForce = new LinkedHashMap<>();
        private boolean everMissing;
        private long missingUntil;

        /** Returns the additional memory, in bytes. */
        long endService(String service, long now) {
            boolean known = lastInForce.remove(service) != null;
            lastInForce.put(service, now);
            return known ? 0 : BYTES_PER_SERVICE + service.length();
        }

        void endMissing(long now) {
            everMissing = true;
            missingUntil = now;
        }

        boolean missing(long window, long now) {
            return everMissing && now - missingUntil <= window;
        }

        /** Returns the memory that is no longer used, in bytes. */
        long forgetBefore(long window, long now) {
            long freed = 0;
            for (Iterator<Map.Entry<String, Long>> services =
                            lastInForce.entrySet().iterator();
                    services.hasNext(); ) {
                Map.Entry<String, Long> service = services.next();
                if (now - service.getValue() > window) {
                    freed += BYTES_PER_SERVICE + service.getKey().length();
                    services.remove();
                }
            }
            return freed;
        }

        boolean unused(long window, long now) {
            return lastInForce.isEmpty() && !missing(window, now);
        }
    }

    /** Creates an empty history that keeps at most the given amount of memory besides the newest version, in bytes. */
    public RouteHistory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the estimated memory of what differed from the newest version, in bytes. */
    public long bytes() {
        return bytes;
    }

    /**
     * Records a version that comes into force, and forgets what was replaced longer ago than the given time.
     *
     * @return whether more had to be forgotten to stay within the memory
     */
    public boolean record(RouteTable table, long window, long now) {
        forgetBefore(window, now);
        RouteTable before = newest;
        newest = table;
        if (before == null) {
            return false;
        }
        for (RouteRule route : before.routes()) {
            recordEnded(route, table.at(route.host(), route.pathPrefix()), now);
        }
        for (RouteRule route : table.routes()) {
            if (before.at(route.host(), route.pathPrefix()) == null) {
                formerRoute(route).endMissing(now);
            }
        }
        if (bytes <= maxBytes) {
            return false;
        }
        former.clear();
        bytes = 0;
        everForgotten = true;
        forgottenAt = now;
        return true;
    }

    private void recordEnded(RouteRule route, @Nullable RouteRule successor, long now) {
        if (successor != null && successor.shares().equals(route.shares())) {
            return;
        }
        Collection<String> remaining = successor == null ? List.of() : successor.services();
        for (String service : route.services()) {
            if (!remaining.contains(service)) {
                // Not "bytes += ...", because formerRoute adds to the field too.
                long added = formerRoute(route).endService(service, now);
                bytes += added;
            }
        }
    }

    private FormerRoute formerRoute(RouteRule route) {
        return former.computeIfAbsent(new RouteKey(route.host(), route.pathPrefix()), key -> {
            bytes += key.bytes();
            return new FormerRoute();
        });
    }

    private void forgetBefore(long window, long now) {
        for (Iterator<Map.Entry<RouteKey, FormerRoute>> routes =
                        former.entrySet().iterator();
                routes.hasNext(); ) {
            Map.Entry<RouteKey, FormerRoute> route = routes.next();
            bytes -= route.getValue().forgetBefore(window, now);
            if (route.getValue().unused(window, now)) {
                bytes -= route.getKey().bytes();
                routes.remove();
            }
        }
    }

    /** Returns whether all versions that were in force in the given time count, so that {@link #services} lacks none. */
    public boolean complete(long window, long now) {
        return !everForgotten || now - forgottenAt > window;
    }

    /** Returns the route of a request to a target in the newest version. */
    public Optional<RouteRule> newest(String host, String target) {
        RouteTable table = newest;
        return table == null ? Optional.empty() : table.find(host, target);
    }

    /**
     * Returns the services to which requests to a target may have been sent in the given time, and possibly some of a shorter prefix to
     * which they were not, if the longer one was missing for a part of that time.
     *
     * @param host the request's host, with or without a port
     * @param target the request target: a path, with or without a query
     */
    public Set<String> services(String host, String target, long window, long now) {
        Set<String> services = new LinkedHashSet<>();
        RouteTable table = newest;
        if (table == null) {
            return services;
        }
        String hostName = RouteTable.hostName(host);
        String path = RouteTable.path(target);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            String prefix = path.substring(0, slash + 1);
            FormerRoute before = former.get(new RouteKey(hostName, prefix));
            if (before != null) {
                before.lastInForce.forEach((service, at) -> {
                    if (now - at <= window) {
                        services.add(service);
                    }
                });
            }
            RouteRule route = table.at(hostName, prefix);
            if (route != null) {
                services.addAll(route.services());
                if (before == null || !before.missing(window, now)) {
                    return services;
                }
            }
        }
        return services;
    }
}
