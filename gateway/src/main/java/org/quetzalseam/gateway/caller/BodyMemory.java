package org.quetzalseam.gateway.caller;

/**
 * Bounds the memory of all request bodies together, those that are still arriving included. A large body may use a part of it only, so
 * that small ones are accepted beside large ones. Used on the event loop only.
 */
final class BodyMemory {
    /** Part of the process's memory for bodies; replies and the buffers of connections need the rest. */
    private static final double MEMORY_SHARE = 0.75;
    /** Part of that for large bodies. */
    private static final double LARGE_SHARE = 0.85;
    /** Longest body that counts as small, in bytes. */
    private static final long SMALL_BYTES = 64 * 1024L;

    private final long maxBytes;
    private long used;

    /** Creates a bound, in bytes. */
    BodyMemory(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns a bound that fits the memory of this process; what buffers may use is by default as much as the heap. */
    static BodyMemory ofProcess() {
        return new BodyMemory((long) (Runtime.getRuntime().maxMemory() * MEMORY_SHARE));
    }

    /**
     * Reserves memory for a body or for its next part.
     *
     * @param bytes how much is needed in addition
     * @param bodyBytes the length of the body with that
     * @return whether it was reserved; if so, it must be released once
     */
    boolean tryReserve(long bytes, long bodyBytes) {
        double limit = bodyBytes <= SMALL_BYTES ? maxBytes : maxBytes * LARGE_SHARE;
        if (used + bytes > limit) {
            return false;
        }
        used += bytes;
        return true;
    }

    void release(long bytes) {
        used -= bytes;
    }

    /** Returns how many bytes are reserved. */
    long used() {
        return used;
    }
}
