package org.quetzalseam.core.store;

import java.util.Comparator;

/**
 * A point in the life of a store. A revision alone doesn't name one: a store that comes back from an older copy gives its
 * revisions out again. Positions are ordered by era, then revision. Immutable.
 *
 * @param era rises by one each time the store comes back from an older copy; {@link #NO_ERA} where the store states none
 * @param revision rises with each change within an era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** Era of a store that states none: its revisions only rise. */
    public static final long NO_ERA = 0;
    /** Before all that a store can show. */
    public static final StorePosition NONE = new StorePosition(NO_ERA, -1);

    /** Bits of a number for the revision: for thirty years at a thousand changes a second. */
    private static final int REVISION_BITS = 40;

    /** Last era whose positions have numbers of their own. */
    public static final long MAX_ERA = (1L << (Long.SIZE - 1 - REVISION_BITS)) - 1;

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /** Returns one number for the position; numbers have the order of positions. A revision below 0 counts as 0. */
    public long number() {
        return (era << REVISION_BITS) + Math.max(0, revision);
    }

    /** Returns the position of a number. */
    public static StorePosition ofNumber(long number) {
        return new StorePosition(number >> REVISION_BITS, number & ((1L << REVISION_BITS) - 1));
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
