package org.quetzalseam.core.generation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Queue of one entry's prompts that wait until the engines have time for them, ordered as their prefills are to begin.
 * Not thread-safe; times are monotonic and passed in, in nanoseconds.
 *
 * <p>A burst of some seconds brings more prompts than the engines can prefill in it, and the lull after it fewer. A
 * prompt that waits here can be answered late, in the lull; if it were refused, its caller would retry with a request
 * that looks new, and take the place of a prompt that could be in time. So prompts that can be in time go first, the
 * most urgent before the others, and late ones follow in the order of their arrival.
 *
 * @param <T> the type of queued prompts
 */
public final class PrefillQueue<T> {
    /**
     * Maximum wait of a prompt, as a share of the time that its caller waits without an event. The rest is for booking
     * memory, prefill and the first event: of a caller timeout of four objectives of 0.9 s that leaves 1.3 s, more than
     * an objective.
     */
    private static final double MAX_WAIT_SHARE = 0.65;

    private final List<Position> positions = new ArrayList<>();

    /** One prompt's position in the queue. */
    public final class Position {
        private final T prompt;
        private final long queuedAt;
        private final long objectiveAt;
        private final long expiresAt;

        Position(T prompt, PrefillPlanner.Deadline deadline, long now) {
            this.prompt = prompt;
            this.queuedAt = now;
            this.objectiveAt = now + nanos(deadline.untilObjectiveMillis());
            this.expiresAt = now + nanos(MAX_WAIT_SHARE * deadline.untilAbandonedMillis());
        }

        /** Returns the queued prompt. */
        public T prompt() {
            return prompt;
        }

        /** Returns how long it has waited, in milliseconds. */
        public long waitedMillis(long now) {
            return TimeUnit.NANOSECONDS.toMillis(now - queuedAt);
        }

        /** Returns whether it has waited so long that an answer would no longer be of use to its caller. */
        public boolean hasExpired(long now) {
            return now - expiresAt >= 0;
        }

        private boolean isLate(long now) {
            return now - objectiveAt >= 0;
        }
    }

    private static long nanos(double millis) {
        return Math.round(millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Adds a prompt to the queue. */
    public Position add(T prompt, PrefillPlanner.Deadline deadline, long now) {
        Position position = new Position(prompt, deadline, now);
        positions.add(position);
        return position;
    }

    /** Removes a prompt from the queue. Does nothing if it is not in the queue. */
    public void remove(Position position) {
        positions.remove(position);
    }

    /** Returns whether the queue is empty. */
    public boolean isEmpty() {
        return positions.isEmpty();
    }

    /** Returns the number of queued prompts. */
    public int size() {
        return positions.size();
    }

    /** Returns whether a prompt that arrives now has to queue behind others. */
    public boolean mustQueue(PrefillPlanner.Deadline deadline, long now) {
        return deadline.untilObjectiveMillis() > 0
                ? positions.stream().anyMatch(position -> !position.isLate(now))
                : !positions.isEmpty();
    }

    /** Returns the queued prompts in the order in which their prefills are to begin. */
    public List<Position> inOrder(long now) {
        List<Position> sorted = new ArrayList<>(positions);
        sorted.sort(Comparator.<Position, Boolean>comparing(position -> position.isLate(now))
                .thenComparingLong(
                        position -> position.isLate(now) ? position.queuedAt - now : position.objectiveAt - now));
        return sorted;
    }
}
