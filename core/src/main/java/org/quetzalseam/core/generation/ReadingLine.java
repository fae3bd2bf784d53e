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
public final class ReadingLine<T> {
    /**
     * Part of the time that its caller stays without an event for which a prompt waits at most. The rest is for memory, reading and the
     * first event: of a silence of four objectives of 0.9 s that leaves 1.3 s, more than an objective. Other shares weren't measured.
     */
    private static final double HELD_SHARE = 0.65;

    private final List<Place> places = new ArrayList<>();

    /** One prompt's place in the line. Its times are monotonic, in nanoseconds. */
    public final class Place {
        private final T waiting;
        private final long enteredAt;
        private final long inTimeUntil;
        private final long until;

        Place(T waiting, ReadingPool.Due due, long now) {
            this.waiting = waiting;
            this.enteredAt = now;
            this.inTimeUntil = now + nanos(due.inTimeMillis());
            this.until = now + nanos(HELD_SHARE * due.leftMillis());
        }

        /** Returns what waits. */
        public T waiting() {
            return waiting;
        }

        /** Returns how long it has waited, in milliseconds. */
        public long waitedMillis(long now) {
            return TimeUnit.NANOSECONDS.toMillis(now - enteredAt);
        }

        /** Returns whether it has waited as long as is of use to its caller. */
        public boolean expired(long now) {
            return now - until >= 0;
        }

        private boolean late(long now) {
            return now - inTimeUntil >= 0;
        }
    }

    private static long nanos(double millis) {
        return Math.round(millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /** Takes a prompt into the line. */
    public Place enter(T waiting, ReadingPool.Due due, long now) {
        Place place = new Place(waiting, due, now);
        places.add(place);
        return place;
    }

    /** Takes a prompt out of the line. Harmless when it isn't in it. */
    public void leave(Place place) {
        places.remove(place);
    }

    /** Returns whether nothing waits. */
    public boolean isEmpty() {
        return places.isEmpty();
    }

    /** Returns how many wait. */
    public int size() {
        return places.size();
    }

    /** Returns whether a prompt that comes now has to let others begin first. */
    public boolean mustQueue(ReadingPool.Due due, long now) {
        return due.inTimeMillis() > 0 ? places.stream().anyMatch(place -> !place.late(now)) : !places.isEmpty();
    }

    /** Returns those who wait, in the order in which they are to be begun. */
    public List<Place> order(long now) {
        List<Place> order = new ArrayList<>(places);
        order.sort(Comparator.<Place, Boolean>comparing(place -> place.late(now))
                .thenComparingLong(place -> place.late(now) ? place.enteredAt - now : place.inTimeUntil - now));
        return order;
    }
}
