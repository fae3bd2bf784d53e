package org.quetzalseam.gateway.peer;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.quetzalseam.core.access.LeasedPart;
import org.quetzalseam.core.access.UnitPromise;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.core.limits.PermitAsk;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.runtime.Timers;

/** The other entries of the site, as far as this one knows their addresses. Used on the event loop only. */
public final class Peers {
    private final EventLoop loop;
    private final Timers timers;
    private final Map<String, PeerLink> links = new HashMap<>();
    private Set<String> holders = Set.of();
    private boolean listed;
    private Runnable onListed = () -> {};
    private Consumer<String> onLost = peer -> {};

    /** Creates a view without other entries. */
    public Peers(EventLoop loop, Timers timers) {
        this.loop = loop;
        this.timers = timers;
    }

    /** Replaces the addresses of the other entries, by their names. */
    public void update(Map<String, InetSocketAddress> addresses) {
        listed = true;
        List.copyOf(links.keySet()).forEach(name -> {
            PeerLink link = links.get(name);
            if (link != null && !link.address().equals(addresses.get(name))) {
                links.remove(name);
                link.failAll();
            }
        });
        addresses.forEach((name, address) ->
                links.computeIfAbsent(name, added -> new PeerLink(loop, timers, address, () -> onLost.accept(added))));
        onListed.run();
    }

    /** Sets the callback that runs after each list of the entries. */
    public void onListed(Runnable call) {
        onListed = call;
    }

    /** Sets the callback that receives the name of an entry whose connection has ended, or that did not answer. */
    public void onLost(Consumer<String> call) {
        onLost = call;
    }

    /** Returns whether the other entries have been listed since the start of the process. */
    public boolean listed() {
        return listed;
    }

    /** Returns the names of all other entries that are known. */
    public List<String> names() {
        return List.copyOf(links.keySet());
    }

    /** Returns the names of the entries that are worth asking. */
    public List<String> usable() {
        return links.entrySet().stream()
                .filter(link -> link.getValue().usable())
                .map(Map.Entry::getKey)
                .toList();
    }

    /** Returns whether an entry is known and worth asking. */
    public boolean usable(String peer) {
        PeerLink link = links.get(peer);
        return link != null && link.usable();
    }

    /** Returns for how long an entry has not answered, in nanoseconds; 0 if it has answered last time or is not known. */
    public long unreachableNanos(String peer) {
        PeerLink link = links.get(peer);
        return link == null ? 0 : link.unreachableNanos();
    }

    /** Asks an entry whether requests may be sent to an endpoint that states a limit. */
    public void askPermit(String peer, PermitAsk ask, Consumer<Optional<PermitAnswer>> answered) {
        PeerLink link = links.get(peer);
        if (link == null) {
            answered.accept(Optional.empty());
        } else {
            link.askPermit(ask, answered);
        }
    }

    /** Asks an entry for units of a team's allowance; {@code answered} receives how many were granted, which may be none. */
    public void ask(String peer, String team, long units, LongConsumer answered) {
        PeerLink link = links.get(peer);
        if (link == null) {
            answered.accept(0);
        } else {
            link.ask(team, units, answered);
        }
    }

    /** Replaces the names of the entries that understand questions to holders of units. */
    public void updateHolders(Set<String> names) {
        holders = Set.copyOf(names);
    }

    /** Returns the names of the entries that understand questions to holders of units and are worth asking. */
    public List<String> usableHolders() {
        return holders.stream().filter(this::usable).toList();
    }

    /** Asks a holder for the units of a request; {@code answered} receives empty if there is no answer in time. */
    public void askUnits(
            String peer, String team, long units, long maxWaitNanos, Consumer<Optional<UnitPromise>> answered) {
        PeerLink link = links.get(peer);
        if (link == null) {
            answered.accept(Optional.empty());
        } else {
            link.askUnits(team, units, maxWaitNanos, answered);
        }
    }

    /** Asks an entry for its part of a team's allowance. */
    public void askPart(String peer, String team, long holder, long leaseNanos, Consumer<LeasedPart> answered) {
        PeerLink link = links.get(peer);
        if (link != null) {
            link.askPart(team, holder, leaseNanos, answered);
        }
    }

    /** Asks an entry what it knows of the desired state; {@code answered} is called only if there is an answer in time. */
    public void askState(String peer, Consumer<ProvedState> answered) {
        PeerLink link = links.get(peer);
        if (link != null) {
            link.askState(answered);
        }
    }

    /** Asks an entry to keep a record of where a stream began; {@code answered} receives whether it does. */
    public void keepOrigin(
            String peer, String attempt, StreamOrigin origin, long keepMillis, Consumer<Boolean> answered) {
        PeerLink link = links.get(peer);
        if (link == null) {
            answered.accept(false);
        } else {
            link.keepOrigin(attempt, origin, keepMillis, answered);
        }
    }

    /** Asks an entry where a stream began. */
    public void askOrigin(String peer, String attempt, Consumer<OriginAnswer> answered) {
        PeerLink link = links.get(peer);
        if (link == null) {
            answered.accept(OriginAnswer.SILENT);
        } else {
            link.askOrigin(attempt, answered);
        }
    }

    /** Tells all entries that are worth asking what this one has learnt of crashes. */
    public void tellCrashes(String reporter, CrashReport news) {
        links.values().stream().filter(PeerLink::usable).forEach(link -> link.tellCrashes(reporter, news));
    }
}
