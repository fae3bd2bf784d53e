package org.quetzalseam.daemon.entry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.placement.Placement;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.daemon.platform.MemberList;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.Vm;
import org.quetzalseam.wire.runtime.Service;

/**
 * The endpoints that one entry is linked to, by pool. The entry links only to a subset of a large pool, chosen by
 * rendezvous hashing, so that the number of connections stays bounded. Thread-safe.
 */
final class Fleet implements Service, SiteSync.MembersListener {
    /** Maximum number of endpoints of one pool that an entry links to. */
    static final int LINKS_PER_POOL = 32;

    private static final long USABLE_POLL_MILLIS = 20;
    /**
     * Time after a restore of the store from an older copy during which no VM counts as removed from the list: running
     * processes are listed again within two seconds.
     */
    private static final Duration RELISTING_WAIT = Duration.ofMillis(2_500);

    private final String self;
    private final String zone;
    private final Placement placement;
    private final Map<String, EndpointLink> links = new HashMap<>();
    private final Map<String, PoolHistory> pools = new HashMap<>();
    private @Nullable LinkContext context;
    private MemberList newest = new MemberList(0, List.of());
    /** The VMs listed before the store was restored; empty once {@link #RELISTING_WAIT} has passed. */
    private List<Vm> listedBeforeRestore = List.of();

    private int entryCount = 1;
    private boolean stopped;

    Fleet(String self, String zone, Placement placement) {
        this.self = self;
        this.zone = zone;
        this.placement = placement;
    }

    /** Sets what the links share. To be called once, before the first list of VMs arrives. */
    synchronized void setLinkContext(LinkContext shared) {
        context = shared;
    }

    @Override
    public void start() {
        // Links are started when the list of VMs names their endpoints.
    }

    @Override
    public synchronized void changed(MemberList members) {
        LinkContext shared = context;
        if (shared != null && era(members) > era(newest) && !newest.vms().isEmpty()) {
            long era = era(members);
            listedBeforeRestore = listed();
            shared.timers().after(RELISTING_WAIT, () -> forgetListBeforeRestore(era));
        }
        newest = members;
        apply();
    }

    private static long era(MemberList members) {
        return StorePosition.ofNumber(members.version()).era();
    }

    private synchronized void forgetListBeforeRestore(long era) {
        if (era == era(newest)) {
            listedBeforeRestore = List.of();
            apply();
        }
    }

    /** Returns the VMs of the newest list, and for a while those listed before the store was restored. */
    synchronized List<Vm> listed() {
        Map<String, Vm> vms = new LinkedHashMap<>();
        listedBeforeRestore.forEach(vm -> vms.put(vm.name(), vm));
        newest.vms().forEach(vm -> vms.put(vm.name(), vm));
        return List.copyOf(vms.values());
    }

    private void apply() {
        LinkContext shared = context;
        if (stopped || shared == null) {
            return;
        }
        List<Vm> vms = listed();
        long nowNanos = shared.timers().now();
        Map<String, Vm> wanted = new HashMap<>();
        Map<String, List<Vm>> byPool = new HashMap<>();
        for (Vm vm : vms) {
            if (vm.role() == Role.ENDPOINT) {
                byPool.computeIfAbsent(vm.pool(), unused -> new ArrayList<>()).add(vm);
            }
        }
        byPool.forEach((pool, ofPool) -> {
            subset(ofPool).forEach(vm -> wanted.put(vm.name(), vm));
            pools.computeIfAbsent(pool, unused -> new PoolHistory()).update(ofPool, nowNanos);
        });
        dropUnwanted(wanted, nowNanos);
        wanted.values().forEach(vm -> link(vm, shared));
        entryCount = (int) vms.stream()
                .filter(vm -> vm.role() == Role.ENTRY && !vm.leaving())
                .count();
    }

    private List<Vm> subset(List<Vm> vms) {
        List<String> names = vms.stream().map(Vm::name).toList();
        Set<String> chosen = new HashSet<>(Rendezvous.subset(names, Rendezvous.hash(self), LINKS_PER_POOL));
        return vms.stream().filter(vm -> chosen.contains(vm.name())).toList();
    }

    private void dropUnwanted(Map<String, Vm> wanted, long nowNanos) {
        List<String> unwanted = links.values().stream()
                .filter(link -> !sameAddress(link.vm(), wanted.get(link.name())))
                .map(EndpointLink::name)
                .toList();
        for (String name : unwanted) {
            EndpointLink link = links.remove(name);
            if (link != null) {
                PoolHistory history = pools.get(link.vm().pool());
                if (history != null) {
                    history.recordRemoval(link, nowNanos);
                }
                link.stop();
            }
        }
    }

    private static boolean sameAddress(Vm vm, @Nullable Vm other) {
        return other != null
                && vm.host().equals(other.host())
                && vm.port() == other.port()
                && vm.pool().equals(other.pool());
    }

    private void link(Vm vm, LinkContext shared) {
        EndpointLink known = links.get(vm.name());
        if (known != null) {
            known.setListedLeaving(vm.leaving());
            return;
        }
        EndpointLink link = new EndpointLink(vm, shared);
        links.put(vm.name(), link);
        link.start();
    }

    /** Returns the number of entry processes that share the site's limits. */
    synchronized int entryCount() {
        return Math.max(1, entryCount);
    }

    /** Returns the links to a pool, in the order of their names. */
    synchronized List<EndpointLink> linksToPool(String pool) {
        return links.values().stream()
                .filter(link -> link.vm().pool().equals(pool))
                .sorted(Comparator.comparing(EndpointLink::name))
                .toList();
    }

    /** Returns whether the entry is linked to every listed endpoint of a pool. */
    synchronized boolean isLinkedToWholePool(String pool) {
        return history(pool).listedCount() <= LINKS_PER_POOL;
    }

    /** Returns the history of a pool's members. */
    synchronized PoolHistory history(String pool) {
        return pools.computeIfAbsent(pool, unused -> new PoolHistory());
    }

    /** Chooses an endpoint of a pool that accepts new work and is not excluded. */
    Optional<EndpointLink> choose(WorkClass workClass, String pool, long affinity, Set<String> excluded) {
        List<EndpointLink> usable = linksToPool(pool).stream()
                .filter(EndpointLink::isUsable)
                .filter(link -> !excluded.contains(link.name()))
                .toList();
        if (usable.isEmpty()) {
            return Optional.empty();
        }
        int choice = placement.choose(
                usable.stream().map(link -> link.candidate(workClass)).toList(), affinity, zone);
        return Optional.of(usable.get(choice));
    }

    /**
     * Returns the one endpoint of a pool to which all entries send a request that has crashed back ends, or empty if it can't
     * be used now or this entry is not linked to it.
     */
    synchronized Optional<EndpointLink> probeEndpoint(String pool, String request) {
        List<String> names = listed().stream()
                .filter(vm -> vm.role() == Role.ENDPOINT && vm.pool().equals(pool) && !vm.leaving())
                .map(Vm::name)
                .toList();
        return names.isEmpty()
                ? Optional.empty()
                : Optional.ofNullable(links.get(names.get(Rendezvous.top(names, Rendezvous.hash(request)))))
                        .filter(EndpointLink::isUsable);
    }

    /**
     * Chooses an endpoint as {@link #choose} does, and an excluded one when no other is usable. When none is usable at
     * all, waits for one, such as after a lost connection, for at most {@code maxWaitMillis}.
     */
    Optional<EndpointLink> chooseWithin(
            long maxWaitMillis, WorkClass workClass, String pool, long affinity, Set<String> excluded) {
        long endNanos = System.nanoTime() + Duration.ofMillis(maxWaitMillis).toNanos();
        while (true) {
            Optional<EndpointLink> link =
                    choose(workClass, pool, affinity, excluded).or(() -> choose(workClass, pool, affinity, Set.of()));
            if (link.isPresent()
                    || System.nanoTime() - endNanos >= 0
                    || Thread.currentThread().isInterrupted()) {
                return link;
            }
            LockSupport.parkNanos(Duration.ofMillis(USABLE_POLL_MILLIS).toNanos());
        }
    }

    /** Predicts the milliseconds that a prompt takes in a pool, from its queueing to the end of its prefill. */
    long expectedPrefillMillis(String pool, int promptTokens) {
        return linksToPool(pool).stream()
                .filter(EndpointLink::isUsable)
                .mapToLong(link -> {
                    Load load = link.load();
                    long ownMillis = promptTokens
                            * load.nanosPerCost()
                            / Duration.ofMillis(1).toNanos();
                    return load.backlogMillis() + ownMillis;
                })
                .min()
                .orElse(0);
    }

    @Override
    public synchronized void stop() {
        stopped = true;
        links.values().forEach(EndpointLink::stop);
        links.clear();
    }
}
