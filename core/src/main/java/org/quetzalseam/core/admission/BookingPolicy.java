package org.quetzalseam.core.admission;

/**
 * Decides how far decode memory may be booked ahead of being free. Booking ahead keeps places from idling while a prompt
 * is prefilled; booking too far ahead lets a KV cache expire before a place is free, and the prefill is wasted.
 * Implementations are immutable and thread-safe.
 */
@FunctionalInterface
public interface BookingPolicy {
    /**
     * Returns how many more places than there are may be booked.
     *
     * @param capacity number of places
     * @param meanHoldMillis mean time that an attempt holds a place, in milliseconds; 0 when nothing is known
     * @param leadMillis expected time from booking until the KV cache arrives, in milliseconds
     */
    int extraSlots(int capacity, long meanHoldMillis, long leadMillis);

    /** Returns the policy that books only what is free. */
    static BookingPolicy whenFree() {
        return (capacity, meanHoldMillis, leadMillis) -> 0;
    }

    /**
     * Returns the policy that books a share of the places expected to become free within the lead time.
     *
     * @param share part of the expected places to book, from 0 to 1; the rest is the margin
     */
    static BookingPolicy expected(double share) {
        if (share < 0 || share > 1) {
            throw new IllegalArgumentException("share: expected 0 to 1, got " + share);
        }
        return (capacity, meanHoldMillis, leadMillis) ->
                meanHoldMillis == 0 ? 0 : (int) (share * capacity * leadMillis / meanHoldMillis);
    }
}
