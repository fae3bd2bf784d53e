package org.quetzalseam.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Serves all owners and classes in order of arrival. A first attempt that cannot start blocks all attempts behind it.
 */
final class FifoQueue implements WorkQueue {
    private final Deque<QueuedAttempt> attempts = new ArrayDeque<>();

    @Override
    public void add(QueuedAttempt attempt) {
        attempts.addLast(attempt);
    }

    @Override
    public Optional<QueuedAttempt> poll(Predicate<QueuedAttempt> startable) {
        QueuedAttempt first = attempts.peekFirst();
        if (first == null || !startable.test(first)) {
            return Optional.empty();
        }
        return Optional.of(attempts.removeFirst());
    }

    @Override
    public boolean remove(AttemptId id) {
        return attempts.removeIf(attempt -> attempt.id().equals(id));
    }

    @Override
    public List<QueuedAttempt> expire(long now) {
        List<QueuedAttempt> expired = new ArrayList<>(attempts.stream()
                .filter(attempt -> attempt.deadlineNanos() - now < 0)
                .toList());
        attempts.removeAll(expired);
        return expired;
    }

    @Override
    public List<QueuedAttempt> drain() {
        List<QueuedAttempt> all = List.copyOf(attempts);
        attempts.clear();
        return all;
    }

    @Override
    public int waiting(String entry) {
        return (int) attempts.stream()
                .filter(attempt -> attempt.entry().equals(entry))
                .count();
    }

    @Override
    public long costAhead(WorkClass workClass) {
        return attempts.stream().mapToLong(QueuedAttempt::cost).sum();
    }

    @Override
    public int size() {
        return attempts.size();
    }
}
