package org.quetzalseam.daemon.http;

import org.quetzalseam.http.MemoryBudget;

/** The memory of one request, which is reserved as the request arrives and released when its handler has ended. Thread-safe. */
final class RequestMemory {
    private final MemoryBudget budget;
    private long reserved;
    private boolean released;

    RequestMemory(MemoryBudget budget) {
        this.budget = budget;
    }

    /** Reserves memory. Returns false if too little is left, or the request has ended. */
    synchronized boolean tryReserve(long bytes) {
        if (released || !budget.tryReserve(bytes)) {
            return false;
        }
        reserved += bytes;
        return true;
    }

    synchronized void release() {
        budget.release(reserved);
        reserved = 0;
        released = true;
    }

    /** Describes the budget for the log. */
    String describe() {
        return "used=" + budget.used() + " most=" + budget.limit();
    }
}
