package org.quetzalseam.core.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.access.AccessRules;

/**
 * One version of the desired state, indexed for lookup. Immutable.
 *
 * <p>A lookup tries the prefixes of the path from the longest to the shortest, so that its cost does not grow with the
 * number of routes.
 */
public final class RouteTable {
    private final long version;
    private final CallerLimits limits;
    private final List<ServiceRule> services;
    private final AccessRules access;
    private final Map<String, Map<String, RouteRule>> byHost = new HashMap<>();

    /** Creates a table of the routes, services and limits of one version of a site without teams. */
    public RouteTable(long version, List<RouteRule> routes, List<ServiceRule> services, CallerLimits limits) {
        this(version, routes, services, limits, AccessRules.OPEN);
    }

    /** Creates a table of the routes, services, limits and teams of one version. */
    public RouteTable(
            long version, List<RouteRule> routes, List<ServiceRule> services, CallerLimits limits, AccessRules access) {
        this.version = version;
        this.limits = limits;
        this.access = access;
        this.services = List.copyOf(services);
        for (RouteRule route : routes) {
            byHost.computeIfAbsent(route.host(), host -> new HashMap<>()).put(route.pathPrefix(), route);
        }
    }

    /** Returns the version of the desired state. */
    public long version() {
        return version;
    }

    /** Returns the limits for callers. */
    public CallerLimits limits() {
        return limits;
    }

    /** Returns the teams and their keys. */
    public AccessRules access() {
        return access;
    }

    /** Returns the settings of the services. */
    public Collection<ServiceRule> services() {
        return services;
    }

    /** Returns the number of routes. */
    public int routeCount() {
        return byHost.values().stream().mapToInt(Map::size).sum();
    }

    /** Returns the longest timeout of a route whose streams callers may take up, in milliseconds; 0 if there is none. */
    public long longestResumableMillis() {
        return byHost.values().stream()
                .flatMap(routes -> routes.values().stream())
                .filter(RouteRule::resumable)
                .mapToLong(RouteRule::timeoutMillis)
                .max()
                .orElse(0);
    }

    /**
     * Returns the route of the host whose prefix is the longest that matches the path.
     *
     * @param host the request's host, with or without a port
     * @param target the request target: a path, with or without a query
     */
    public Optional<RouteRule> find(String host, String target) {
        Map<String, RouteRule> routes = byHost.get(hostName(host));
        if (routes == null) {
            return Optional.empty();
        }
        String path = path(target);
        for (int slash = path.lastIndexOf('/'); slash >= 0; slash = path.lastIndexOf('/', slash - 1)) {
            RouteRule route = routes.get(path.substring(0, slash + 1));
            if (route != null) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Returns all routes, in no particular order. */
    List<RouteRule> routes() {
        return byHost.values().stream()
                .flatMap(routes -> routes.values().stream())
                .toList();
    }

    /** Returns the route of a host, given without a port and in lower case, that has exactly this prefix. */
    @Nullable
    RouteRule at(String hostName, String pathPrefix) {
        Map<String, RouteRule> routes = byHost.get(hostName);
        return routes == null ? null : routes.get(pathPrefix);
    }

    /** Returns the path of a target, which is without its query. */
    static String path(String target) {
        int query = target.indexOf('?');
        return query < 0 ? target : target.substring(0, query);
    }

    static String hostName(String host) {
        int colon = host.lastIndexOf(':');
        String name = colon > 0 && host.indexOf(']') < colon ? host.substring(0, colon) : host;
        return name.toLowerCase(Locale.ROOT);
    }
}
