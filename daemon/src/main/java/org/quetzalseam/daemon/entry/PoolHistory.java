package org.quetzalseam.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalseam.wire.message.Vm;

/**
 * Records when a pool's members last changed and which endpoints were removed, in order to decide whether a former
 * holder may have seen an idempotency key. Thread-safe. Times are nanoseconds of one monotonic clock.
 */
final class PoolHistory {
    /**
     * An endpoint that was removed from the list.
     *
     * @param link the endpoint
     * @param removedAt when it was removed from the list
     */
    record RemovedEndpoint(EndpointLink link, long removedAt) {}

    private Set<String> members = new HashSet<>();
    private int listedCount;
    private long changedAt;
    private boolean hasChanged;
    private final Map<String, RemovedEndpoint> removed = new HashMap<>();

    /**
     * Records the pool's members. The first list that a process reads counts as a change, as it knows no earlier one.
     */
    synchronized void update(List<Vm> vms, long now) {
        listedCount = vms.size();
        Set<String> names = new HashSet<>();
        vms.stream().filter(vm -> !vm.leaving()).forEach(vm -> names.add(vm.name()));
        if (!hasChanged || !names.equals(members)) {
            hasChanged = true;
            changedAt = now;
            members = names;
        }
    }

    /** Records that the pool has changed in a way that the list of VMs does not show yet. */
    synchronized void recordChange(long now) {
        hasChanged = true;
        changedAt = now;
    }

    synchronized void recordRemoval(EndpointLink link, long now) {
        removed.put(link.name(), new RemovedEndpoint(link, now));
    }

    /** Returns the number of listed endpoints of the pool. */
    synchronized int listedCount() {
        return listedCount;
    }

    /** Returns the time since the last change of the members, in milliseconds; 0 if none is recorded. */
    synchronized long unchangedMillis(long now) {
        return hasChanged ? (now - changedAt) / 1_000_000 : 0;
    }

    /** Returns the endpoints that were removed within the given time and are not members again. */
    synchronized List<EndpointLink> removedWithin(long nanos, long now) {
        removed.values()
                .removeIf(endpoint -> now - endpoint.removedAt() > nanos
                        || members.contains(endpoint.link().name()));
        return new ArrayList<>(
                removed.values().stream().map(RemovedEndpoint::link).toList());
    }
}
