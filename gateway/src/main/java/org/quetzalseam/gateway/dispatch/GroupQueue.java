package org.quetzalseam.gateway.dispatch;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quetzalseam.core.dispatch.PlaceCapacity;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.dispatch.PlaceQueue;
import org.quetzalseam.core.dispatch.PlaceRequest;
import org.quetzalseam.core.dispatch.Ticket;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.gateway.peer.PlaceAnswer;

/**
 * The queue of one group of endpoints for which this entry decides, with those that wait for its decisions. Used on the event loop only.
 *
 * <p>Decisions are passed on only after the call of the queue that made them has returned, because a receiver may call the queue again at
 * once.
 */
final class GroupQueue {
    /** How long the endpoints are taken as known before they are looked up again, in nanoseconds. */
    private static final long REFRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Supplies the endpoints of the group. */
    @FunctionalInterface
    interface Members {
        List<PlaceCapacity> now();
    }

    private record Decided(Consumer<PlaceAnswer> receiver, PlaceAnswer answer) {}

    private final Members members;
    private final Map<Ticket, Consumer<PlaceAnswer>> undecided = new HashMap<>();
    private final Deque<Decided> decided = new ArrayDeque<>();
    private final PlaceQueue queue;
    private Set<PlaceCapacity> known = Set.of();
    private boolean refreshed;
    private long refreshedAt;
    private long usedAt;

    /**
     * Creates a queue without requests.
     *
     * @param queues creates the queue of requests, which passes its decisions on to the given listener
     */
    GroupQueue(Function<PlaceQueue.Listener, PlaceQueue> queues, Members members, long now) {
        this.members = members;
        this.queue = queues.apply(new Decisions());
        this.usedAt = now;
    }

    private final class Decisions implements PlaceQueue.Listener {
        @Override
        public void granted(Ticket ticket, Incarnation endpoint) {
            decide(ticket, PlaceAnswer.granted(endpoint));
        }

        @Override
        public void refused(Ticket ticket, long retryAfterNanos, String inputs) {
            decide(ticket, PlaceAnswer.refused(retryAfterNanos, inputs));
        }

        private void decide(Ticket ticket, PlaceAnswer answer) {
            Consumer<PlaceAnswer> receiver = undecided.remove(ticket);
            if (receiver != null) {
                decided.add(new Decided(receiver, answer));
            }
        }
    }

    /** Returns whether the group has endpoints, as far as this entry knows. */
    boolean hasEndpoints(long now) {
        refresh(now);
        return !known.isEmpty();
    }

    private void refresh(long now) {
        if (refreshed && now - refreshedAt < REFRESH_NANOS) {
            return;
        }
        refreshed = true;
        refreshedAt = now;
        Set<PlaceCapacity> listed = Set.copyOf(members.now());
        if (!listed.equals(known)) {
            known = listed;
            queue.endpoints(listed, now);
        }
    }

    void submit(PlaceRequest request, Consumer<PlaceAnswer> receiver, long now) {
        usedAt = now;
        undecided.put(request.ticket(), receiver);
        queue.submit(request, now);
        if (undecided.containsKey(request.ticket())) {
            // The queue refuses a request that can't get a place while its answer is of use, at the latest when that
            // time is over.
            receiver.accept(PlaceAnswer.waiting(request.usefulNanos()));
        }
        deliver();
    }

    /** Ends a place, or drops a request that waits. */
    void ended(Ticket ticket, PlaceOutcome outcome, long responseNanos, long now) {
        usedAt = now;
        if (undecided.remove(ticket) != null) {
            queue.cancel(ticket, now);
        } else {
            queue.ended(ticket, outcome, responseNanos, now);
        }
        deliver();
    }

    /** Drops the requests of a connection that has ended, and ends its places. */
    void connectionClosed(String connection, long now) {
        undecided.keySet().removeIf(ticket -> ticket.entry().equals(connection));
        queue.entryLost(connection, now);
        deliver();
    }

    /** Returns all requests that wait as declined, so that their entries ask another dispatcher. */
    void declineAll(long now) {
        Map<Ticket, Consumer<PlaceAnswer>> waiting = Map.copyOf(undecided);
        undecided.clear();
        waiting.keySet().forEach(ticket -> queue.cancel(ticket, now));
        waiting.values().forEach(receiver -> receiver.accept(PlaceAnswer.DECLINED));
        deliver();
    }

    void tick(long now) {
        refresh(now);
        queue.tick(now);
        deliver();
    }

    private void deliver() {
        for (Decided next = decided.poll(); next != null; next = decided.poll()) {
            next.receiver().accept(next.answer());
        }
    }

    boolean active() {
        return queue.waiting() > 0 || queue.inUse() > 0;
    }

    int waiting() {
        return queue.waiting();
    }

    int inUse() {
        return queue.inUse();
    }

    /** Returns when the queue was used last, in monotonic nanoseconds. */
    long usedAt() {
        return usedAt;
    }
}
