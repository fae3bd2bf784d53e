package org.quetzalseam.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * The places of one engine's memory, and which attempt holds each. A place is taken by {@link #book} and given back by
 * {@link #releaseBooking}; both act once for each attempt however often they are called, so that a cancellation and an end that
 * cross can't free a place twice.
 *
 * <p>Not thread-safe: the gate that owns the ledger guards it.
 */
public final class SlotLedger {
    private final int capacity;
    private final int shortReserve;
    private final Map<AttemptId, WorkClass> held = new HashMap<>();
    private int longHeld;

    /**
     * Creates a ledger with all places free.
     *
     * @param capacity number of places
     * @param shortReserve places that long work can't take, less than the capacity
     */
    public SlotLedger(int capacity, int shortReserve) {
        if (capacity < 1 || shortReserve < 0 || shortReserve >= capacity) {
            throw new IllegalArgumentException(
                    "capacity, shortReserve: expected 0 <= reserve < capacity, got " + capacity + ", " + shortReserve);
        }
        this.capacity = capacity;
        this.shortReserve = shortReserve;
    }

    /**
     * Returns whether an attempt of this class could be booked now.
     *
     * @param workClass the class of work
     * @param extra places that may be booked beyond those that there are
     */
    public boolean isAvailable(WorkClass workClass, int extra) {
        if (held.size() >= capacity + extra) {
            return false;
        }
        return workClass == WorkClass.SHORT || longHeld < capacity + extra - shortReserve;
    }

    /** Takes a place. Returns false when there is none for this class, or when the attempt holds one already. */
    public boolean book(AttemptId id, WorkClass workClass, int extra) {
        if (held.containsKey(id) || !isAvailable(workClass, extra)) {
            return false;
        }
        held.put(id, workClass);
        longHeld += workClass == WorkClass.LONG ? 1 : 0;
        return true;
    }

    /** Gives a place back. Returns false when the attempt holds none. */
    public boolean release(AttemptId id) {
        WorkClass workClass = held.remove(id);
        if (workClass == null) {
            return false;
        }
        longHeld -= workClass == WorkClass.LONG ? 1 : 0;
        return true;
    }

    /** Returns how many places are free; 0 also when more are booked than there are. */
    public int free() {
        return Math.max(0, capacity - held.size());
    }

    /** Returns the number of places. */
    public int capacity() {
        return capacity;
    }
}
