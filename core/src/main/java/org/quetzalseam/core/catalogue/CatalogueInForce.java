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

    private volatile Accepted current = new Accepted(Manifest.none(), Map.of(), Catalogue.empty());

    /** Returns what is in force. */
    public Accepted current() {
        return current;
    }

    /** Returns the version in force, 0 when no catalogue has been read yet. */
    public long version() {
        return current().manifest().version();
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
