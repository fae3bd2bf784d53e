package org.quetzalseam.daemon.service;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;

/**
 * Bounds the memory of a service's answers: those that are arriving, and those that are queued for entries. Large ones may use a part of
 * it only, so that small ones are received beside them. Thread-safe.
 */
final class AnswerMemory {
    /** Longest answer that counts as small, in bytes. */
    static final int SMALL_BYTES = 64 * 1024;
    /** Part of the heap. The queues to entries, at whose limit an entry is disconnected, may take a quarter. */
    private static final double HEAP_SHARE = 0.2;

    private static final double LARGE_SHARE = 0.8;

    private final long limit;
    private final LongSupplier queued;
    private final AtomicLong used = new AtomicLong();

    /**
     * Creates a bound.
     *
     * @param limit most memory, in bytes
     * @param queued returns the bytes that are queued for entries
     */
    AnswerMemory(long limit, LongSupplier queued) {
        this.limit = limit;
        this.queued = queued;
    }

    /** Creates a bound that fits the heap of this process. */
    static AnswerMemory ofProcess(LongSupplier queued) {
        return new AnswerMemory((long) (Runtime.getRuntime().maxMemory() * HEAP_SHARE), queued);
    }

    /**
     * Reserves memory for an answer or for its next part. Returns false, and reserves nothing, if too little is left.
     *
     * @param bytes how much is needed in addition
     * @param answerBytes the length of the answer with that
     */
    boolean tryReserve(long bytes, long answerBytes) {
        if (used.addAndGet(bytes) + queued.getAsLong() <= most(answerBytes)) {
            return true;
        }
        used.addAndGet(-bytes);
        return false;
    }

    /** Returns whether an answer could be received if no other took memory. */
    boolean fits(long answerBytes) {
        return answerBytes <= most(answerBytes);
    }

    private double most(long answerBytes) {
        return answerBytes <= SMALL_BYTES ? limit : limit * LARGE_SHARE;
    }

    void release(long bytes) {
        used.addAndGet(-bytes);
    }

    /** Describes the bound for the log. */
    String describe() {
        return "used=" + used.get() + " queued=" + queued.getAsLong() + " most=" + limit;
    }
}
