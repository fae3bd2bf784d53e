package org.quetzalseam.gateway.http;

/**
 * Bounds the memory for replies that are kept until they are complete, over all connections of a process. Used on the event loop
 * only.
 */
final class ReplyMemory {
    private final long maxBytes;
    private long used;

    /** Creates a bound for all replies together, in bytes. */
    ReplyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Takes memory for a part of a reply. Returns false, and takes nothing, if too little is left. */
    boolean take(long bytes) {
        if (bytes > maxBytes - used) {
            return false;
        }
        used += bytes;
        return true;
    }

    /** Gives memory back. */
    void giveBack(long bytes) {
        used -= bytes;
    }

    /** Returns how much is in use, in bytes. */
    long used() {
        return used;
    }
}
