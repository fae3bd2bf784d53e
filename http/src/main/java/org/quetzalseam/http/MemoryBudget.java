package org.quetzalseam.http;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the memory that all users of a budget have reserved together. Thread-safe. */
public final class MemoryBudget {
    private final long limit;
    private final AtomicLong used = new AtomicLong();

    /** Creates a budget of so many bytes. */
    public MemoryBudget(long limit) {
        this.limit = limit;
    }

    /** Creates a budget of a part of the heap that this process may have. */
    public static MemoryBudget ofHeap(double share) {
        return new MemoryBudget((long) (Runtime.getRuntime().maxMemory() * share));
    }

    /** Reserves memory. Returns false, and reserves nothing, if too little is left. */
    public boolean tryReserve(long bytes) {
        if (used.addAndGet(bytes) <= limit) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    /** Releases memory that was reserved. */
    public void release(long bytes) {
        used.addAndGet(-bytes);
    }

    /** Returns how many bytes are reserved. */
    public long used() {
        return used.get();
    }

    /** Returns how many bytes may be reserved. */
    public long limit() {
        return limit;
    }
}
