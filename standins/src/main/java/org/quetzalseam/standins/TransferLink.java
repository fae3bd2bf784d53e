package org.quetzalseam.standins;

/** Simulates a link of limited rate, which runs one transfer after the other. Thread-safe. */
final class TransferLink {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final long bytesPerMilli;
    private long freeAtNanos = System.nanoTime();

    TransferLink(long bytesPerMilli) {
        this.bytesPerMilli = bytesPerMilli;
    }

    /** Waits for the time that this transfer and the transfers queued before it take. */
    void transfer(long bytes) {
        long end;
        synchronized (this) {
            freeAtNanos = Math.max(freeAtNanos, System.nanoTime()) + bytes * NANOS_PER_MILLI / bytesPerMilli;
            end = freeAtNanos;
        }
        Pause.nanos(end - System.nanoTime());
    }
}
