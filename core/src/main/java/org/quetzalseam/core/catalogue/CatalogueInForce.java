package org.quetzalseam.core.catalogue;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Holds the accepted catalogue that this process uses. Its version only increases: an older catalogue is never
 * accepted, whichever process offers it. Thread-safe.
 */
public final class CatalogueInForce {
    /**
     * An accepted catalogue with the texts of all its files, as forwarded to other processes. Immutable.
     *
     * @param manifest the manifest
     * @param files texts by file name
     * @param catalogue the catalogue parsed from the texts
     */
    public record Accepted(Manifest manifest, Map<String, String> files, Catalogue catalogue) {
        /** Copies the map. */
        public Accepted {
            files = Map.copyOf(files);
        }
    }

    /**
     * Greatest age of a confirmation by the store at which this catalogue still counts as the newest, in nanoseconds.
     * It is less than 14 seconds, within which a change must be in force everywhere, because a request may also be in
     * transit for some time.
     */
    private static final long MAX_CONFIRMATION_AGE_NANOS = TimeUnit.SECONDS.toNanos(12);

    private volatile Accepted current = new Accepted(Manifest.none(), Map.of(), Catalogue.empty());
    private boolean everConfirmed;
    private long confirmedAtNanos;

    /** Returns the catalogue in force; an empty one when none has been read yet. */
    public Accepted current() {
        return current;
    }

    /** Returns the version in force, 0 when no catalogue has been read yet. */
    public long version() {
        return current().manifest().version();
    }

    /** Records that the catalogue in force was the newest at the given time, in monotonic nanoseconds. */
    public synchronized void confirm(long atNanos) {
        everConfirmed = true;
        confirmedAtNanos = atNanos;
    }

    /**
     * Returns whether the catalogue in force is known to be the newest, except for changes so recent that they need not
     * be in force yet.
     */
    public synchronized boolean isKnownCurrent(long now) {
        return everConfirmed && now - confirmedAtNanos <= MAX_CONFIRMATION_AGE_NANOS;
    }

    /** Returns the time since the catalogue was last confirmed as the newest, in milliseconds; -1 if it never was. */
    public synchronized long ageMillis(long now) {
        return everConfirmed ? TimeUnit.NANOSECONDS.toMillis(now - confirmedAtNanos) : -1;
    }

    /** Puts a catalogue in force if it is newer than the current one. Returns whether it did so. */
    public synchronized boolean offer(Accepted candidate) {
        if (candidate.manifest().version() <= version()) {
            return false;
        }
        current = candidate;
        notifyAll();
        return true;
    }

    /**
     * Waits until the first catalogue is in force, for requests that arrive before that. Returns whether one is in
     * force.
     *
     * @param maxWait maximum time to wait
     */
    public synchronized boolean awaitFirst(Duration maxWait) {
        long deadline = System.nanoTime() + maxWait.toNanos();
        long remaining = maxWait.toNanos();
        while (version() == 0 && remaining > 0) {
            try {
                TimeUnit.NANOSECONDS.timedWait(this, remaining);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
            remaining = deadline - System.nanoTime();
        }
        return version() > 0;
    }
}
