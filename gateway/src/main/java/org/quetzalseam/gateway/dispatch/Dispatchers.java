package org.quetzalseam.gateway.dispatch;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.dispatch.PlaceCapacity;
import org.quetzalseam.core.dispatch.PlaceRequest;
import org.quetzalseam.core.dispatch.Ticket;
import org.quetzalseam.core.limits.PermitIssuers;
import org.quetzalseam.gateway.entry.EntryList;
import org.quetzalseam.gateway.operator.GatewayMetrics;
import org.quetzalseam.gateway.peer.PeerPlace;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.peer.PlaceAnswer;
import org.quetzalseam.gateway.peer.PlaceAsk;
import org.quetzalseam.gateway.peer.PlaceIssuer;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Asks the dispatchers of services for places at endpoints, and decides as a dispatcher itself. Used on the event loop only.
 *
 * <p>All entries that know the same entries agree on the dispatcher of a group of endpoints. Where they do not, several decide at once;
 * each then learns from answers that the endpoints have less room.
 */
public final class Dispatchers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Part of the largest processor stated from which an entry decides for others. */
    private static final double MIN_PROCESSOR_SHARE = 0.5;
    /** How long an entry is not asked after it was silent or declined, in nanoseconds. */
    private static final long AVOID_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Timers timers;
    private final EndpointSource endpoints;
    private final Peers peers;
    private final String self;
    private final GatewayMetrics metrics;
    private final PlaceQueues queues;
    private final double ownProcessor;
    private DispatchSettings settings;
    /** The candidates by group; empty after each change of the entries. */
    private final Map<DispatchGroup, List<String>> orders = new HashMap<>();

    private final Map<DispatchGroup, String> deciding = new HashMap<>();
    private final Map<String, Long> silentAt = new HashMap<>();
    private final Map<DispatchGroup, Map<String, Long>> declinedAt = new HashMap<>();
    private Map<String, Double> processors = Map.of();
    private boolean listed;
    private int entries;
    private boolean answersPeers;
    private boolean newcomer;
    private boolean draining;
    private long nextNumber;
    private long nextAskNumber;

    /** Creates the dispatchers as seen by an entry that knows no other entries yet. */
    public Dispatchers(
            Timers timers,
            EndpointSource endpoints,
            Peers peers,
            String self,
            DispatchSettings settings,
            GatewayMetrics metrics,
            QueueFactory factory) {
        this.timers = timers;
        this.endpoints = endpoints;
        this.peers = peers;
        this.self = self;
        this.settings = settings;
        this.ownProcessor = settings.processor();
        this.metrics = metrics;
        this.queues = new PlaceQueues(timers, endpoints, factory, this::decides);
    }

    /** Applies settings that were read again. The processor that this entry states stays until the next start. */
    public void settings(DispatchSettings newSettings) {
        settings = newSettings;
    }

    /** Records that other entries can ask this one. */
    public void answersPeers() {
        answersPeers = true;
        orders.clear();
    }

    /** Records a list of the entries. */
    public void listed(EntryList list) {
        listed = true;
        entries = list.entries();
        processors = list.processors();
        orders.clear();
        silentAt.values().removeIf(at -> !lately(at));
        declinedAt.values().forEach(byName -> byName.values().removeIf(at -> !lately(at)));
        declinedAt.values().removeIf(Map::isEmpty);
    }

    /** Sets whether other entries may not know this one yet, so that it must not decide for all. */
    public void newcomer(boolean mayBeUnknown) {
        if (newcomer != mayBeUnknown) {
            newcomer = mayBeUnknown;
            orders.clear();
        }
    }

    /** Decides no more, because the process is to stop, and returns all requests that wait for a decision. */
    public void startDraining() {
        draining = true;
        orders.clear();
        queues.declineAll();
    }

    private boolean decides() {
        return listed && answersPeers && !newcomer && !draining && ownProcessor > 0;
    }

    /** Returns what answers the requests of other entries. */
    public PlaceIssuer issuer() {
        return queues;
    }

    /** Returns whether the calls of a service are dispatched: there are many entries for its places, and one of them may decide. */
    public boolean dispatched(String service) {
        if (!listed || settings.sharedQueueFrom() <= 0 || endpoints.staged(service)) {
            return false;
        }
        long places = endpoints.usable(service).stream()
                .mapToLong(PlaceCapacity::slots)
                .sum();
        return places > 0
                && entries >= settings.sharedQueueFrom() * places
                && (decides() || !candidates().isEmpty());
    }

    /** Returns a ticket for a new request of this entry. */
    public Ticket newTicket() {
        return new Ticket(self, nextNumber++);
    }

    /**
     * Creates a request for a place at a service's endpoints, which is sent by {@link PlaceSearch#start}.
     *
     * @param request the request, with a ticket of its own
     * @param listener receives the decision
     */
    public PlaceSearch search(String service, PlaceRequest request, PlaceSearch.Listener listener) {
        int count = endpoints.usable(service).size();
        int drawn = count == 0 ? 0 : ThreadLocalRandom.current().nextInt(count);
        int group = count == 0 ? 0 : EndpointGroups.groupAt(drawn, count, EndpointGroups.count(count));
        return new PlaceSearch(this, new DispatchGroup(service, group), request, listener);
    }

    /** Returns the number of requests that wait for a decision of this entry. */
    public int waiting() {
        return queues.waiting();
    }

    /** Returns the number of places in use that this entry has given. */
    public int inUse() {
        return queues.inUse();
    }

    Timers timers() {
        return timers;
    }

    /** Returns the entries to ask about a group, in order. */
    List<String> order(DispatchGroup group) {
        return orders.computeIfAbsent(
                group, asked -> PermitIssuers.order(candidates(), self, selfMayDecide(), asked.key()));
    }

    private boolean selfMayDecide() {
        return decides() && ownProcessor >= MIN_PROCESSOR_SHARE * largestProcessor();
    }

    /** Returns the other entries that state enough of a processor. Entries that state none do not know the messages. */
    private Collection<String> candidates() {
        double least = MIN_PROCESSOR_SHARE * largestProcessor();
        List<String> names = new ArrayList<>();
        processors.forEach((name, processor) -> {
            if (processor >= least) {
                names.add(name);
            }
        });
        return names;
    }

    private double largestProcessor() {
        return processors.values().stream().reduce(answersPeers ? ownProcessor : 0, Math::max);
    }

    /**
     * Asks a candidate for a place. No message is sent if it is this entry.
     *
     * @param asked receives what ends the request or its place, before any place is granted
     * @param answered receives the answers; empty if the candidate is lost
     */
    void ask(String candidate, PlaceAsk ask, Consumer<PeerPlace> asked, Consumer<Optional<PlaceAnswer>> answered) {
        if (!candidate.equals(self)) {
            asked.accept(peers.askPlace(candidate, ask, answered));
            return;
        }
        long number = nextAskNumber++;
        asked.accept((outcome, responseNanos) -> queues.ended(self, number, outcome, responseNanos));
        queues.ask(self, number, ask, answer -> answered.accept(Optional.of(answer)));
    }

    boolean mayAsk(String candidate, DispatchGroup group) {
        if (lately(declinedAt.getOrDefault(group, Map.of()).get(candidate))) {
            return false;
        }
        return candidate.equals(self) ? decides() : peers.usable(candidate) && !lately(silentAt.get(candidate));
    }

    private boolean lately(@Nullable Long at) {
        return at != null && timers.now() - at < AVOID_NANOS;
    }

    /** Records that a candidate has not answered in time. */
    void avoid(String candidate) {
        silentAt.put(candidate, timers.now());
    }

    void recordDeclined(String candidate, DispatchGroup group) {
        declinedAt.computeIfAbsent(group, added -> new HashMap<>()).put(candidate, timers.now());
    }

    void recordDecides(String candidate, DispatchGroup group) {
        String before = deciding.put(group, candidate);
        if (!candidate.equals(before)) {
            logger.atInfo().log(
                    "event=dispatcher-changed service=%s group=%d dispatcher=%s before=%s",
                    group.service(), group.number(), candidate, before == null ? "" : before);
        }
    }

    void count(DispatchGroup group, String decision) {
        metrics.place(group.service(), decision);
    }
}
