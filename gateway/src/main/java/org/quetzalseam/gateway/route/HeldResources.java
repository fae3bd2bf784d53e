package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;

/** What engines hold for one generation, and what of it must be given back when the generation ends. Not thread-safe. */
final class HeldResources {
    private final BookingManager bookings;
    private @Nullable BookedMemory memory;
    private @Nullable String unusedBooking;
    private @Nullable KvCache unusedKv;

    HeldResources(BookingManager bookings) {
        this.bookings = bookings;
    }

    /** Notes a booking, not used yet. */
    void booked(BookedMemory booked) {
        memory = booked;
        unusedBooking = booked.id();
    }

    /** Notes a prompt's KV cache, not used yet. */
    void prefilled(KvCache kv) {
        unusedKv = kv;
    }

    /** Returns the memory booked, until it is freed. */
    @Nullable
    BookedMemory memory() {
        return memory;
    }

    /** Notes that booking and KV cache go to the engine with the request. Returns the KV cache, if there is one. */
    @Nullable
    KvCache markUsed() {
        KvCache kv = unusedKv;
        unusedKv = null;
        unusedBooking = null;
        return kv;
    }

    /** Gives back what wasn't used, and notes that the engine has room again. */
    void release() {
        BookedMemory booked = memory;
        String booking = unusedBooking;
        if (booked != null && booking != null) {
            bookings.release(booked.engine(), booking);
        }
        if (booked != null) {
            bookings.recordFreed(booked.engine(), booked.tokens());
        }
        KvCache kv = unusedKv;
        if (kv != null) {
            bookings.dropKv(kv.holder(), kv.handle());
        }
        memory = null;
        unusedBooking = null;
        unusedKv = null;
    }
}
