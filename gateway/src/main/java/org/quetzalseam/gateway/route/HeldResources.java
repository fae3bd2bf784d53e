package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.endpoint.Directory;

/** Tracks what engines hold for one generation, and releases what is unused when the generation ends. Not thread-safe. */
final class HeldResources {
    private final BookingManager bookings;
    private @Nullable BookedMemory memory;
    private @Nullable String unusedBooking;
    private @Nullable KvCache unusedKv;

    HeldResources(BookingManager bookings) {
        this.bookings = bookings;
    }

    /** Records a booking that is not used yet. */
    void booked(BookedMemory booked) {
        memory = booked;
        unusedBooking = booked.id();
    }

    /** Records the KV cache of a prefilled prompt that is not used yet. */
    void prefilled(KvCache kv) {
        unusedKv = kv;
    }

    /** Returns the booked memory, or null if there is none or it was released. */
    @Nullable
    BookedMemory memory() {
        return memory;
    }

    /**
     * Marks the booking and the KV cache as used by the request that is sent to the engine. Returns the KV cache, if there
     * is one.
     */
    @Nullable
    KvCache markUsed() {
        KvCache kv = unusedKv;
        unusedKv = null;
        unusedBooking = null;
        return kv;
    }

    /**
     * Returns whether there is a KV cache that is not used yet. One whose engine has ended since is forgotten: the next incarnation of
     * that engine may hold another prompt's cache under the same handle.
     */
    boolean prefilled(Directory directory) {
        KvCache kv = unusedKv;
        if (kv != null && !directory.lists(kv.holder())) {
            unusedKv = null;
        }
        return unusedKv != null;
    }

    /** Releases what was not used, and reports that the engine has room again. */
    void release() {
        releaseMemory();
        KvCache kv = unusedKv;
        if (kv != null) {
            bookings.dropKv(kv.holder(), kv.handle());
        }
        unusedKv = null;
    }

    /** Releases the booked memory, and keeps the KV cache for the engine that is booked next. */
    void releaseMemory() {
        BookedMemory booked = memory;
        String booking = unusedBooking;
        if (booked != null && booking != null) {
            bookings.release(booked.engine(), booking);
        }
        if (booked != null) {
            bookings.recordFreed(booked.engine(), booked.tokens());
        }
        memory = null;
        unusedBooking = null;
    }
}
