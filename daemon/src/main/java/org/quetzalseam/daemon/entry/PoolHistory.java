package org.quetzalseam.daemon.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.quetzalseam.wire.message.Vm;

/**
 * When a pool's members last changed, and who has left it: what is needed to judge whether an idempotency key may have
 * been seen by a former holder. Thread-safe. Times are nanoseconds of one monotonic clock.
 */
final class PoolHistory {
    /**
     * An endpoint that has left.
     *
     * @param link the endpoint
     * @param removedAt when it left the list
     */
    record RemovedEndpoint(EndpointLink link, long removedAt) {}

    private Set<String> members = new HashSet<>();
    private int listedCount;
    private long changedAt;
    private boolean hasChanged;
    private final Map<String, RemovedEndpoint> removed = new HashMap<>();

    /** Takes note of the pool's members. The first list that a process reads counts as a change, for it knows no past. */
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

    /** Takes note that the pool has changed in a way that the list of VMs doesn't show yet. */
    synchronized void recordChange(long now) {
        hasChanged = true;
        changedAt = now;
    }

    synchronized void recordRemoval(EndpointLink link, long now) {
        removed.put(link.name(), new RemovedEndpoint(link, now));
    }

    /** Returns how many endpoints of the pool are on the list. */
    synchronized int listedCount() {
        return listedCount;
    }

    /** Returns how long the members have been the same, in milliseconds. */
    synchronized long unchangedMillis(long now) {
        return hasChanged ? (now - changedAt) / 1_000_000 : 0;
    }

    /** Returns who has left within the given time and has not come back. */
    synchronized List<EndpointLink> removedWithin(long nanos, long now) {
        removed.values()
                .removeIf(gone -> now - gone.removedAt() > nanos
                        || members.contains(gone.link().name()));
        return new ArrayList<>(
                removed.values().stream().map(RemovedEndpoint::link).toList());
    }
}
