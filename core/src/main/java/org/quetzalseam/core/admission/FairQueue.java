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
 * Schedules owners by start-time fair queueing within each class. Short work goes before long work, but only a limited
 * number of short attempts in a row, so that long work is never starved. Attempts of one owner and class are served in
 * order of arrival.
 */
final class FairQueue implements WorkQueue {
    /** Number of short attempts in a row after which a waiting long attempt goes first. */
    static final int MAX_CONSECUTIVE_SHORT = 16;

    /** Waiting attempts of one owner in one class. */
    private static final class OwnerQueue {
        final Deque<QueuedAttempt> attempts = new ArrayDeque<>();
        double virtualStart;
    }

    /** Owner queues of one class, with the virtual time they share. */
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
        ClassQueue classQueue = classQueues.get(workClass);
        if (classQueue == null) {
            throw new IllegalStateException("no queue for class " + workClass);
        }
        return classQueue;
    }

    @Override
    public void add(QueuedAttempt attempt) {
        ClassQueue classQueue = classQueue(attempt.workClass());
        OwnerQueue ownerQueue = classQueue.ownerQueues.computeIfAbsent(attempt.owner(), unused -> new OwnerQueue());
        if (ownerQueue.attempts.isEmpty()) {
            ownerQueue.virtualStart = Math.max(ownerQueue.virtualStart, classQueue.virtualTime);
        }
        ownerQueue.attempts.addLast(attempt);
        classQueue.cost += attempt.cost();
        size++;
        waitingByEntry.merge(attempt.entry(), 1, Integer::sum);
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
        next.ifPresent(attempt -> consecutiveShort = attempt.workClass() == WorkClass.SHORT ? consecutiveShort + 1 : 0);
        return next;
    }

    private Optional<QueuedAttempt> pollClass(WorkClass workClass, Predicate<QueuedAttempt> startable) {
        ClassQueue classQueue = classQueue(workClass);
        OwnerQueue best = null;
        for (OwnerQueue ownerQueue : classQueue.ownerQueues.values()) {
            QueuedAttempt first = ownerQueue.attempts.peekFirst();
            if (first == null || !startable.test(first)) {
                continue;
            }
            if (best == null || ownerQueue.virtualStart < best.virtualStart) {
                best = ownerQueue;
            }
        }
        if (best == null) {
            return Optional.empty();
        }
        QueuedAttempt attempt = best.attempts.removeFirst();
        classQueue.virtualTime = Math.max(classQueue.virtualTime, best.virtualStart);
        best.virtualStart += (double) attempt.cost() / attempt.weight();
        updateAfterRemoval(classQueue, attempt);
        return Optional.of(attempt);
    }

    /** Updates the counters, and drops owner queues that are empty and not ahead of the virtual time of their class. */
    private void updateAfterRemoval(ClassQueue classQueue, QueuedAttempt attempt) {
        classQueue.cost -= attempt.cost();
        size--;
        waitingByEntry.merge(attempt.entry(), -1, FairQueue::sumOrNullIfZero);
        classQueue
                .ownerQueues
                .values()
                .removeIf(ownerQueue ->
                        ownerQueue.attempts.isEmpty() && ownerQueue.virtualStart <= classQueue.virtualTime);
    }

    private static @Nullable Integer sumOrNullIfZero(int count, int change) {
        return count + change == 0 ? null : count + change;
    }

    private List<QueuedAttempt> removeMatching(Predicate<QueuedAttempt> condition) {
        List<QueuedAttempt> removed = new ArrayList<>();
        for (ClassQueue classQueue : classQueues.values()) {
            List<QueuedAttempt> fromClass = new ArrayList<>();
            for (OwnerQueue ownerQueue : classQueue.ownerQueues.values()) {
                ownerQueue.attempts.stream().filter(condition).forEach(fromClass::add);
                ownerQueue.attempts.removeIf(condition);
            }
            fromClass.forEach(attempt -> updateAfterRemoval(classQueue, attempt));
            removed.addAll(fromClass);
        }
        return removed;
    }

    @Override
    public boolean remove(AttemptId id) {
        return !removeMatching(attempt -> attempt.id().equals(id)).isEmpty();
    }

    @Override
    public List<QueuedAttempt> expire(long now) {
        return removeMatching(attempt -> attempt.deadlineNanos() - now < 0);
    }

    @Override
    public List<QueuedAttempt> drain() {
        return removeMatching(attempt -> true);
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
