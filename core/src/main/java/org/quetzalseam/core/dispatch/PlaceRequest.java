package org.quetzalseam.core.dispatch;

import java.util.Set;

/**
 * A request of a caller that needs a place at an endpoint. Immutable.
 *
 * @param ticket identifies it
 * @param teamPriority priority of the team that makes it; 0 is the most urgent
 * @param routePriority priority of its route; 0 is the most urgent
 * @param team name of the team that makes it; empty if there are no teams
 * @param objectiveNanos latency objective of its route
 * @param inTimeNanos time left until the answer is late; negative if it is late already
 * @param usefulNanos time left until the answer is of no use
 * @param waitedNanos time that the caller has spent in earlier attempts, 0 for a first attempt
 * @param tokens decode memory that it needs; 0 for a call, which needs one place at any endpoint
 * @param excluded ids of endpoints that must not get it, because they have failed to run it
 */
public record PlaceRequest(
        Ticket ticket,
        int teamPriority,
        int routePriority,
        String team,
        long objectiveNanos,
        long inTimeNanos,
        long usefulNanos,
        long waitedNanos,
        int tokens,
        Set<String> excluded) {
    /** Copies the set. */
    public PlaceRequest {
        excluded = Set.copyOf(excluded);
    }
}
