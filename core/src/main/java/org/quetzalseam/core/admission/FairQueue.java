package org.quetzalseam.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Start-time fair queueing among owners inside each class; short before long, with a bounded run of short work so that
 * long work is never starved; first in, first out within one owner and class.
 */
final class FairQueue implements WorkQueue {
    /** After this many short attempts in a row a waiting long one goes first. */
    static final int MAX_CONSECUTIVE_SHORT = 16;

    private static final class OwnerQueue {
        final Deque<QueuedAttempt> attempts = new ArrayDeque<>();
        double virtualStart;
    }

    private static final class ClassQueue {
        final Map<String, OwnerQueue> ownerQueues = new HashMap<>();
        double virtualTime;
        long cost;
    }

    private final Map<WorkClass, ClassQueue> classQueues = new EnumMap<>(WorkClass.class);
    private final Map<String, Integer> waitingByEntry = new HashMap<>();
    private int size;
    private int consecutiveShort;

    FairQueue() {
        for (WorkClass workClass : WorkClass.values()) {
            classQueues.put(workClass, new ClassQueue());
        }
    }

    private ClassQueue classQueue(WorkClass workClass) {
        ClassQueue lane = classQueues.get(workClass);
        if (lane == null) {
            throw new IllegalStateException("no lane for class " + workClass);
        }
        return lane;
    }

    @Override
    public void add(QueuedAttempt ticket) {
        ClassQueue lane = classQueue(ticket.workClass());
        OwnerQueue line = lane.ownerQueues.computeIfAbsent(ticket.owner(), unused -> new OwnerQueue());
        if (line.attempts.isEmpty()) {
            line.virtualStart = Math.max(line.virtualStart, lane.virtualTime);
        }
        line.attempts.addLast(ticket);
        lane.cost += ticket.cost();
        size++;
        waitingByEntry.merge(ticket.entry(), 1, Integer::sum);
    }

    @Override
    public Optional<QueuedAttempt> poll(Predicate<QueuedAttempt> startable) {
        boolean longFirst = consecutiveShort >= MAX_CONSECUTIVE_SHORT;
        WorkClass first = longFirst ? WorkClass.LONG : WorkClass.SHORT;
        WorkClass second = longFirst ? WorkClass.SHORT : WorkClass.LONG;
        Optional<QueuedAttempt> next = pollClass(first, startable);
        if (next.isEmpty()) {
            next = pollClass(second, startable);
        }
        next.ifPresent(ticket -> consecutiveShort = ticket.workClass() == WorkClass.SHORT ? consecutiveShort + 1 : 0);
        return next;
    }

    private Optional<QueuedAttempt> pollClass(WorkClass workClass, Predicate<QueuedAttempt> startable) {
        ClassQueue lane = classQueue(workClass);
        OwnerQueue best = null;
        for (OwnerQueue line : lane.ownerQueues.values()) {
            QueuedAttempt head = line.attempts.peekFirst();
            if (head == null || !startable.test(head)) {
                continue;
            }
            if (best == null || line.virtualStart < best.virtualStart) {
                best = line;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        QueuedAttempt ticket = best.attempts.removeFirst();
        lane.virtualTime = Math.max(lane.virtualTime, best.virtualStart);
        best.virtualStart += (double) ticket.cost() / ticket.weight();
        updateAfterRemoval(lane, ticket);
        return Optional.of(ticket);
    }

    private void updateAfterRemoval(ClassQueue lane, QueuedAttempt ticket) {
        lane.cost -= ticket.cost();
        size--;
        waitingByEntry.merge(ticket.entry(), -1, FairQueue::sumOrNullIfZero);
        lane.ownerQueues.values().removeIf(line -> line.attempts.isEmpty() && line.virtualStart <= lane.virtualTime);
    }

    private static @Nullable Integer sumOrNullIfZero(int count, int change) {
        return count + change == 0 ? null : count + change;
    }

    private List<QueuedAttempt> removeMatching(Predicate<QueuedAttempt> wanted) {
        List<QueuedAttempt> taken = new ArrayList<>();
        for (ClassQueue lane : classQueues.values()) {
            List<QueuedAttempt> fromLane = new ArrayList<>();
            for (OwnerQueue line : lane.ownerQueues.values()) {
                line.attempts.stream().filter(wanted).forEach(fromLane::add);
                line.attempts.removeIf(wanted);
            }
            fromLane.forEach(ticket -> updateAfterRemoval(lane, ticket));
            taken.addAll(fromLane);
        }
        return taken;
    }

    @Override
    public boolean remove(AttemptId id) {
        return !removeMatching(ticket -> ticket.id().equals(id)).isEmpty();
    }

    @Override
    public List<QueuedAttempt> expire(long now) {
        return removeMatching(ticket -> ticket.deadlineNanos() - now < 0);
    }

    @Override
    public List<QueuedAttempt> drain() {
        return removeMatching(ticket -> true);
    }

    @Override
    public int waiting(String entry) {
        return waitingByEntry.getOrDefault(entry, 0);
    }

    @Override
    public long costAhead(WorkClass workClass) {
        long ahead = classQueue(WorkClass.SHORT).cost;
        return workClass == WorkClass.SHORT ? ahead : ahead + classQueue(WorkClass.LONG).cost;
    }

    @Override
    public int size() {
        return size;
    }
}
