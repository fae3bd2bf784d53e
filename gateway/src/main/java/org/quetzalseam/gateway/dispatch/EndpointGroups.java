package org.quetzalseam.gateway.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.quetzalseam.core.dispatch.PlaceCapacity;
import org.quetzalseam.core.placement.Rendezvous;

/**
 * Divides the endpoints of a service into groups, each with a dispatcher of its own. Entries that know the same endpoints agree on the
 * groups. They are of nearly equal size, and an endpoint that is added or removed changes the group of few others unless it changes the
 * number of groups. Stateless.
 */
final class EndpointGroups {
    /**
     * Number of endpoints for which there is one group: enough to choose among, and few enough for one dispatcher to bear the load
     * of a large service.
     */
    static final int GROUP_SIZE = 8;

    private EndpointGroups() {}

    /** Returns the number of groups of a service with the given number of endpoints. */
    static int count(int endpoints) {
        return (endpoints + GROUP_SIZE - 1) / GROUP_SIZE;
    }

    /** Returns the endpoints of a group; empty if there is no such group. */
    static List<PlaceCapacity> members(Collection<PlaceCapacity> endpoints, int group) {
        int groups = count(endpoints.size());
        List<PlaceCapacity> sorted = new ArrayList<>(endpoints);
        sorted.sort(Comparator.<PlaceCapacity>comparingLong(
                        capacity -> Rendezvous.hash(capacity.endpoint().id()))
                .thenComparing(capacity -> capacity.endpoint().id()));
        List<PlaceCapacity> members = new ArrayList<>();
        for (int i = 0; i < sorted.size(); i++) {
            if (groupAt(i, sorted.size(), groups) == group) {
                members.add(sorted.get(i));
            }
        }
        return members;
    }

    /**
     * Returns the group of the endpoint at a position of the sorted endpoints. For a position drawn at random, groups are weighted by
     * their number of endpoints.
     */
    static int groupAt(int position, int endpoints, int groups) {
        return (int) ((long) position * groups / endpoints);
    }
}
