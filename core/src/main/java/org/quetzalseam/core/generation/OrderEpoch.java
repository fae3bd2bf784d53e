package org.quetzalseam.core.generation;

import org.quetzalseam.core.store.StorePosition;

/**
 * Computes the epochs of a lease, which number its successive holdings, from the position of its record in the store. A
 * later epoch is higher even where no process knows the earlier ones, because no revision is issued twice within an era
 * and a later era outranks any revision of an earlier one. Stateless.
 */
public final class OrderEpoch {
    /** Largest epoch: up to 2^53 - 1 every JSON parser represents whole numbers exactly. */
    public static final long MAX = (1L << 53) - 1;

    private OrderEpoch() {}

    /** Returns the highest epoch that a record at a position can hold. */
    public static long highestAt(StorePosition position) {
        // No position is lower than one whose revision is unknown.
        return position.number();
    }

    /** Returns an epoch above all that were issued up to a position. */
    public static long after(StorePosition position) {
        return highestAt(position) + 1;
    }

    /** Returns the era in which an epoch was issued. */
    public static long era(long epoch) {
        return StorePosition.ofNumber(epoch).era();
    }

    /** Returns whether epochs can represent an era, so that they differ from the epochs of all other eras. */
    public static boolean expressible(long era) {
        return era >= 0 && era <= era(MAX);
    }
}
