package org.quetzalseam.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.quetzalseam.core.fleet.Incarnation;

/** The endpoints of a group with their places. Not thread-safe. Times are monotonic nanoseconds. */
final class EndpointGroup {
    private final Map<Incarnation, EndpointPlaces> endpoints = new LinkedHashMap<>();
    private final Map<Ticket, EndpointPlaces> holders = new HashMap<>();
    private final Supplier<LimitControl> controls;

    EndpointGroup(Supplier<LimitControl> controls) {
        this.controls = controls;
    }

    /** Replaces the endpoints; one that stays keeps what was learnt of it. */
    void replace(Collection<PlaceCapacity> usable, long now) {
        List<Incarnation> listed = usable.stream().map(PlaceCapacity::endpoint).toList();
        endpoints.keySet().retainAll(listed);
        holders.values().removeIf(places -> !endpoints.containsKey(places.endpoint()));
        listed.forEach(
                endpoint -> endpoints.computeIfAbsent(endpoint, id -> new EndpointPlaces(id, controls.get(), now)));
    }

    /** Returns the endpoints that have room, those first that answer as usual and whose places are used least. */
    List<EndpointPlaces> withRoom(long now) {
        return endpoints.values().stream()
                .filter(places -> places.hasRoom(now))
                .sorted(Comparator.comparingDouble(EndpointPlaces::fill))
                .toList();
    }

    void give(EndpointPlaces places, Ticket ticket, long now) {
        places.give(ticket, now);
        holders.put(ticket, places);
    }

    void end(Ticket ticket, PlaceOutcome outcome, long responseNanos, long objectiveNanos, long now) {
        EndpointPlaces places = holders.remove(ticket);
        if (places != null) {
            places.end(ticket, outcome, responseNanos, objectiveNanos, now);
        }
    }

    void entryLost(String entry) {
        holders.keySet().removeIf(ticket -> ticket.entry().equals(entry));
        endpoints.values().forEach(places -> places.entryLost(entry));
    }

    void tick(long now) {
        List<Ticket> ended = new ArrayList<>();
        endpoints.values().forEach(places -> ended.addAll(places.tick(now)));
        ended.forEach(holders::remove);
    }

    int inUse() {
        return holders.size();
    }

    /** Returns whether there is an endpoint that a request may have. */
    boolean serves(PlaceRequest request) {
        return endpoints.keySet().stream()
                .anyMatch(endpoint -> !request.excluded().contains(endpoint.id()));
    }

    /** Returns the answers a second of all endpoints that answer as usual; 0 if this is unknown. */
    double answersPerSecond() {
        return endpoints.values().stream()
                .mapToDouble(EndpointPlaces::answersPerSecond)
                .sum();
    }

    /** Returns the shortest mean response time of an endpoint that answers as usual; 0 if it is unknown. */
    long responseNanos() {
        return endpoints.values().stream()
                .filter(EndpointPlaces::healthy)
                .mapToLong(EndpointPlaces::meanNanos)
                .filter(mean -> mean > 0)
                .min()
                .orElse(0);
    }
}
