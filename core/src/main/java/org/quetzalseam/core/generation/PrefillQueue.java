package org.quetzalseam.core.generation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Prompts of one entry that wait until the engines have time for them, and the order in which they are begun. Not thread-safe; time
 * is passed in, in nanoseconds.
 *
 * <p>A burst of seconds brings more than the engines read in it, and the lull after it less. Whoever waits here can be answered
 * late, in the lull; refused, the caller comes back as one that seems new, and takes the place of one that could be in time. So
 * those who can be in time go first, the most urgent of them before the others, and the late follow as they came.
 *
 * @param <T> what waits
 */
public final class PrefillQueue<T> {
    /**
     * Part of the time that its caller stays without an event for which a prompt waits at most. The rest is for memory, reading and the
     * first event: of a silence of four objectives of 0.9 s that leaves 1.3 s, more than an objective. Other shares weren't measured.
     */
    private static final double MAX_WAIT_SHARE = 0.65;

    private final List<Position> positions = new ArrayList<>();

    /** One prompt's place in the line. Its times are monotonic, in nanoseconds. */
    public final class Position {
        private final T prompt;
        private final long queuedAt;
        private final long objectiveAt;
        private final long expiresAt;

        Position(T waiting, PrefillPlanner.Deadline due, long now) {
            this.prompt = waiting;
            this.queuedAt = now;
            this.objectiveAt = now + nanos(due.untilObjectiveMillis());
            this.expiresAt = now + nanos(MAX_WAIT_SHARE * due.untilAbandonedMillis());
        }

        /** Returns what waits. */
        public T prompt() {
            return prompt;
        }

        /** Returns how long it has waited, in milliseconds. */
        public long waitedMillis(long now) {
            return TimeUnit.NANOSECONDS.toMillis(now - queuedAt);
        }

        /** Returns whether it has waited as long as is of use to its caller. */
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

    /** Takes a prompt into the line. */
    public Position add(T waiting, PrefillPlanner.Deadline due, long now) {
        Position place = new Position(waiting, due, now);
        positions.add(place);
        return place;
    }

    /** Takes a prompt out of the line. Harmless when it isn't in it. */
    public void remove(Position place) {
        positions.remove(place);
    }

    /** Returns whether nothing waits. */
    public boolean isEmpty() {
        return positions.isEmpty();
    }

    /** Returns how many wait. */
    public int size() {
        return positions.size();
    }

    /** Returns whether a prompt that comes now has to let others begin first. */
    public boolean mustQueue(PrefillPlanner.Deadline due, long now) {
        return due.untilObjectiveMillis() > 0
                ? positions.stream().anyMatch(place -> !place.isLate(now))
                : !positions.isEmpty();
    }

    /** Returns those who wait, in the order in which they are to be begun. */
    public List<Position> inOrder(long now) {
        List<Position> order = new ArrayList<>(positions);
        order.sort(Comparator.<Position, Boolean>comparing(place -> place.isLate(now))
                .thenComparingLong(place -> place.isLate(now) ? place.queuedAt - now : place.objectiveAt - now));
        return order;
    }
}
