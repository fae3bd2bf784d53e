package org.quetzalseam.core.routing;

/**
 * A service's share of a route's requests. Immutable.
 *
 * @param service the service's name
 * @param weight its weight among the route's shares, 0 or more
 */
public record ServiceShare(String service, double weight) {
    /** Creates a share and checks its weight. */
    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of " + service + ": expected 0 or more, got " + weight);
        }
    }
}
