package org.quetzalseam.core.catalogue;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The accepted catalogue that one process runs. Its version only rises: an older one is never taken, whoever offers it.
 * Thread-safe.
 */
public final class CatalogueInForce {
    /**
     * An accepted catalogue with all its texts, as it is passed on to other processes. Immutable.
     *
     * @param manifest the manifest
     * @param files texts by file name
     * @param catalogue what the texts say
     */
    public record Accepted(Manifest manifest, Map<String, String> files, Catalogue catalogue) {
        /** Copies the map. */
        public Accepted {
            files = Map.copyOf(files);
        }
    }

    /**
     * How old the store's word on the newest version may be for this to be known to be it, in nanoseconds: a change must be in force
     * everywhere within 14 seconds, also for a request that is on its way for some time.
     */
    private static final long MAX_CONFIRMATION_AGE_NANOS = TimeUnit.SECONDS.toNanos(12);

    private volatile Accepted current = new Accepted(Manifest.none(), Map.of(), Catalogue.empty());
    private boolean everConfirmed;
    private long confirmedAtNanos;

    /** Returns what is in force. */
    public Accepted current() {
        return current;
    }

    /** Returns the version in force, 0 when no catalogue has been read yet. */
    public long version() {
        return current().manifest().version();
    }

    /** Notes that what is in force was the newest at a time, in monotonic nanoseconds. */
    public synchronized void confirm(long at) {
        everConfirmed = true;
        confirmedAtNanos = at;
    }

    /** Returns whether what is in force is known to be the newest but for changes that needn't be in force yet. */
    public synchronized boolean isKnownCurrent(long now) {
        return everConfirmed && now - confirmedAtNanos <= MAX_CONFIRMATION_AGE_NANOS;
    }

    /** Returns how long ago it was known to be the newest, in milliseconds; -1 if it never was. */
    public synchronized long ageMillis(long now) {
        return everConfirmed ? TimeUnit.NANOSECONDS.toMillis(now - confirmedAtNanos) : -1;
    }

    /** Puts a catalogue in force if it is newer than the current one. Returns whether it was. */
    public synchronized boolean offer(Accepted candidate) {
        if (candidate.manifest().version() <= version()) {
            return false;
        }
        current = candidate;
        notifyAll();
        return true;
    }

    /**
     * Waits until a catalogue has been read, for a process that is asked before that. Returns whether one is in force.
     *
     * @param limit how long to wait at most
     */
    public synchronized boolean awaitFirst(Duration limit) {
        long end = System.nanoTime() + limit.toNanos();
        long left = limit.toNanos();
        while (version() == 0 && left > 0) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
            left = end - System.nanoTime();
        }
        return version() > 0;
    }
}
