package org.quetzalseam.core.routing;

/**
 * A service's share of a route's requests. Immutable.
 *
 * @param service the service's name
 * @param weight weight relative to the other shares of the route, 0 or more
 */
public record ServiceShare(String service, double weight) {
    /** Checks that the weight is not negative. */
    public ServiceShare {
        if (!(weight >= 0)) {
            throw new IllegalArgumentException("weight of " + service + ": expected 0 or more, got " + weight);
        }
    }
}
