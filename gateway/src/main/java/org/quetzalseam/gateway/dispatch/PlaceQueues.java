package org.quetzalseam.gateway.dispatch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.dispatch.PlaceCapacity;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.dispatch.PlaceRequest;
import org.quetzalseam.core.dispatch.Ticket;
import org.quetzalseam.gateway.peer.PlaceAnswer;
import org.quetzalseam.gateway.peer.PlaceAsk;
import org.quetzalseam.gateway.peer.PlaceIssuer;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.Timers;

/** The queues of all groups for which this entry decides. Used on the event loop only. */
final class PlaceQueues implements PlaceIssuer {
    /** Interval at which queues that are in use decide on requests whose time has come, in milliseconds. */
    private static final long TICK_MILLIS = 5;
    /** How long the queue of a group is kept after its last use, in nanoseconds: what it has learnt of endpoints holds about as long. */
    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(60);
    /** Interval at which queues that nobody uses are removed, in milliseconds. */
    private static final long REMOVE_INTERVAL_MILLIS = 10_000;

    private final Timers timers;
    private final EndpointSource endpoints;
    private final QueueFactory factory;
    private final BooleanSupplier decides;
    private final Map<DispatchGroup, GroupQueue> queues = new HashMap<>();
    /** The queues of requests that wait or have a place. */
    private final Map<Ticket, GroupQueue> requests = new HashMap<>();

    private @Nullable ScheduledCall ticking;

    PlaceQueues(Timers timers, EndpointSource endpoints, QueueFactory factory, BooleanSupplier decides) {
        this.timers = timers;
        this.endpoints = endpoints;
        this.factory = factory;
        this.decides = decides;
        timers.every(REMOVE_INTERVAL_MILLIS, this::removeUnused);
    }

    @Override
    public void ask(String connection, long number, PlaceAsk ask, Consumer<PlaceAnswer> answered) {
        boolean staged = endpoints.staged(ask.service());
        if (!decides.getAsBoolean() || !factory.supports(staged)) {
            answered.accept(PlaceAnswer.DECLINED);
            return;
        }
        DispatchGroup group = new DispatchGroup(ask.service(), ask.group());
        if (!queues.containsKey(group) && members(group).isEmpty()) {
            answered.accept(PlaceAnswer.DECLINED);
            return;
        }
        long now = timers.now();
        GroupQueue queue = queues.computeIfAbsent(group, added -> newQueue(added, staged, now));
        if (!queue.hasEndpoints(now)) {
            answered.accept(PlaceAnswer.DECLINED);
            return;
        }
        Ticket ticket = new Ticket(connection, number);
        requests.put(ticket, queue);
        queue.submit(withTicket(ask.request(), ticket), answer -> pass(ticket, answer, answered), now);
        startTicking();
    }

    private GroupQueue newQueue(DispatchGroup group, boolean staged, long now) {
        return new GroupQueue(listener -> factory.create(staged, listener, now), () -> members(group), now);
    }

    private List<PlaceCapacity> members(DispatchGroup group) {
        return EndpointGroups.members(endpoints.usable(group.service()), group.number());
    }

    private void pass(Ticket ticket, PlaceAnswer answer, Consumer<PlaceAnswer> answered) {
        if (answer.decision() == PlaceAnswer.Decision.REFUSED || answer.decision() == PlaceAnswer.Decision.DECLINED) {
            requests.remove(ticket);
        }
        answered.accept(answer);
    }

    private static PlaceRequest withTicket(PlaceRequest request, Ticket ticket) {
        return new PlaceRequest(
                ticket,
                request.teamPriority(),
                request.routePriority(),
                request.team(),
                request.objectiveNanos(),
                request.inTimeNanos(),
                request.usefulNanos(),
                request.waitedNanos(),
                request.tokens(),
                request.excluded());
    }

    @Override
    public void ended(String connection, long number, PlaceOutcome outcome, long responseNanos) {
        Ticket ticket = new Ticket(connection, number);
        GroupQueue queue = requests.remove(ticket);
        if (queue != null) {
            queue.ended(ticket, outcome, responseNanos, timers.now());
        }
    }

    @Override
    public void closed(String connection) {
        if (requests.keySet().removeIf(ticket -> ticket.entry().equals(connection))) {
            List.copyOf(queues.values()).forEach(queue -> queue.connectionClosed(connection, timers.now()));
        }
    }

    /** Returns all requests that wait as declined, because this entry decides no more. Places in use stay until they end. */
    void declineAll() {
        List.copyOf(queues.values()).forEach(queue -> queue.declineAll(timers.now()));
    }

    private void startTicking() {
        if (ticking == null) {
            ticking = timers.every(TICK_MILLIS, this::tick);
        }
    }

    private void tick() {
        List<GroupQueue> active =
                queues.values().stream().filter(GroupQueue::active).toList();
        // The time is read for each queue, because decisions of one may lead to calls of another, whose time must not
        // go back.
        active.forEach(queue -> queue.tick(timers.now()));
        ScheduledCall timer = ticking;
        if (active.isEmpty() && timer != null) {
            timer.cancel();
            ticking = null;
        }
    }

    private void removeUnused() {
        long now = timers.now();
        queues.values().removeIf(queue -> !queue.active() && now - queue.usedAt() > KEEP_NANOS);
        requests.values().removeIf(queue -> !queue.active());
    }

    int waiting() {
        return queues.values().stream().mapToInt(GroupQueue::waiting).sum();
    }

    int inUse() {
        return queues.values().stream().mapToInt(GroupQueue::inUse).sum();
    }
}
