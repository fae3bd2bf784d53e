package org.quetzalseam.core.admission;

/**
 * Decides how many slots of decode memory may be booked before they are free. Booking ahead keeps slots from idling
 * while a prompt is prefilled; booking too far ahead lets a KV cache expire before a slot is free, so that the prefill
 * is wasted. Implementations are immutable and thread-safe.
 */
@FunctionalInterface
public interface BookingPolicy {
    /**
     * Returns how many slots may be booked beyond the capacity.
     *
     * @param capacity number of slots
     * @param meanHoldMillis mean time that an attempt holds a slot, in milliseconds; 0 when unknown
     * @param leadTimeMillis expected time from booking until the KV cache arrives, in milliseconds
     */
    int extraSlots(int capacity, long meanHoldMillis, long leadTimeMillis);

    /** Returns the policy that books only free slots. */
    static BookingPolicy whenFree() {
        return (capacity, meanHoldMillis, leadTimeMillis) -> 0;
    }

    /**
     * Returns the policy that books a share of the slots expected to become free within the lead time.
     *
     * @param share part of the expected slots to book, from 0 to 1; the rest is a safety margin
     */
    static BookingPolicy expected(double share) {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("share: expected 0 to 1, got " + share);
        }
        return (capacity, meanHoldMillis, leadTimeMillis) ->
                meanHoldMillis == 0 ? 0 : (int) (share * capacity * leadTimeMillis / meanHoldMillis);
    }
}
