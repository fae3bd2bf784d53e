package org.quetzalseam.daemon.entry;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** Queue of events of one attempt that have arrived and are not yet handled. Thread-safe. */
final class Inbox {
    private final LinkedBlockingQueue<AttemptEvent> events = new LinkedBlockingQueue<>();
    private volatile int nextOutput;

    void add(AttemptEvent event) {
        events.add(event);
    }

    /** Waits for the next event; returns null when none arrived in time or the thread was interrupted. */
    @Nullable
    AttemptEvent poll(long millis) {
        try {
            return events.poll(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Returns the index of the first output not yet delivered, from which to resume after a lost connection. */
    int nextOutput() {
        return nextOutput;
    }

    void setNextOutput(int next) {
        nextOutput = next;
    }
}
