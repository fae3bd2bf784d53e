package org.quetzalseam.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Records which attempts hold the memory slots of one engine. {@link #book} takes a slot and {@link #release} returns
 * it. Both take effect once per attempt however often they are called, so that a cancellation that coincides with the
 * end of an attempt cannot free a slot twice.
 *
 * <p>Not thread-safe: the owner of the ledger synchronizes access.
 */
public final class SlotLedger {
    private final int capacity;
    private final int shortReserve;
    private final Map<AttemptId, WorkClass> held = new HashMap<>();
    private int longHeld;

    /**
     * Creates a ledger with all slots free.
     *
     * @param capacity number of slots
     * @param shortReserve slots that long work cannot use, less than the capacity
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
     * @param extraSlots slots that may be booked beyond the capacity
     */
    public boolean isAvailable(WorkClass workClass, int extraSlots) {
        if (held.size() >= capacity + extraSlots) {
            return false;
        }
        return workClass == WorkClass.SHORT || longHeld < capacity + extraSlots - shortReserve;
    }

    /** Books a slot. Returns false when none is available to this class, or when the attempt already holds one. */
    public boolean book(AttemptId id, WorkClass workClass, int extraSlots) {
        if (held.containsKey(id) || !isAvailable(workClass, extraSlots)) {
            return false;
        }
        held.put(id, workClass);
        longHeld += workClass == WorkClass.LONG ? 1 : 0;
        return true;
    }

    /** Releases the slot of an attempt. Returns false when the attempt holds none. */
    public boolean release(AttemptId id) {
        WorkClass workClass = held.remove(id);
        if (workClass == null) {
            return false;
        }
        longHeld -= workClass == WorkClass.LONG ? 1 : 0;
        return true;
    }

    /** Returns the number of free slots; also 0 when more are booked than the capacity. */
    public int free() {
        return Math.max(0, capacity - held.size());
    }

    /** Returns the number of slots, without those booked ahead. */
    public int capacity() {
        return capacity;
    }
}
