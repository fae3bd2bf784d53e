package org.quetzalseam.core.store;

import java.util.Comparator;

/**
 * A position in the history of a store. A revision alone does not identify one, because a store that is restored from
 * an older copy assigns the same revisions again. Positions are ordered by era, then revision. Immutable.
 *
 * @param era increases by one each time the store is restored from an older copy; {@link #NO_ERA} if the store reports
 *     none
 * @param revision increases with each change within an era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Era of a store that reports none; its revisions only increase. */
    public static final long NO_ERA = 0;
    /** Position before every position of a store. */
    public static final StorePosition NONE = new StorePosition(NO_ERA, -1);

    /** Number of bits for the revision in {@link #number}: enough for 30 years at 1000 changes per second. */
    private static final int REVISION_BITS = 40;

    /** Last revision whose positions have unique numbers. */
    public static final long MAX_REVISION = (1L << REVISION_BITS) - 1;

    /** Last era whose positions have unique numbers. */
    public static final long MAX_ERA = (1L << (Long.SIZE - 1 - REVISION_BITS)) - 1;

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /** Returns the position encoded as one number, in the same order as positions. A revision below 0 counts as 0. */
    public long number() {
        return (era << REVISION_BITS) + Math.max(0, revision);
    }

    /** Returns the position decoded from its number. */
    public static StorePosition ofNumber(long number) {
        return new StorePosition(number >> REVISION_BITS, number & MAX_REVISION);
    }

    /** Returns whether this position is before another. */
    public boolean isBefore(StorePosition other) {
        return compareTo(other) < 0;
    }

    /** Returns the later of two positions. */
    public static StorePosition later(StorePosition one, StorePosition other) {
        return one.isBefore(other) ? other : one;
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }
}
