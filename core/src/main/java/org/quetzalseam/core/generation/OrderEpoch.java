package org.quetzalseam.core.generation;

import org.quetzalseam.core.store.StorePosition;

/**
 * Numbers of holdings of a lease, made from the position of its record in the store. A number made later is higher, also where
 * nobody remembers the ones before: no revision is given out twice within an era, and a later era counts for more than any
 * revision of an earlier one. Stateless.
 */
public final class OrderEpoch {
    /** Largest epoch: up to here every reader of JSON has the same whole numbers. */
    public static final long MAX = (1L << 53) - 1;

    private OrderEpoch() {}

    /** Returns the highest epoch that a holder can have been given in a record at a position. */
    public static long highestAt(StorePosition position) {
        // A position whose revision is unknown has none below it.
        return position.number();
    }

    /** Returns an epoch above all that were given up to a position. */
    public static long after(StorePosition position) {
        return highestAt(position) + 1;
    }

    /** Returns the era in which an epoch was given. */
    public static long era(long epoch) {
        return StorePosition.ofNumber(epoch).era();
    }

    /** Returns whether epochs of an era can be told from those of the others. */
    public static boolean expressible(long era) {
        return era >= 0 && era <= era(MAX);
    }
}
