package org.quetzalseam.daemon.entry;

import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** What has arrived for one attempt and was not yet looked at. Thread-safe. */
final class Inbox {
    private final LinkedBlockingQueue<AttemptEvent> events = new LinkedBlockingQueue<>();
    private volatile int nextOutput;

    void add(AttemptEvent event) {
        events.add(event);
    }

    /** Waits for the next event; returns null when there was none in time. */
    @Nullable
    AttemptEvent poll(long millis) {
        try {
            return events.poll(millis, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    /** Returns the index of the first output that has not been delivered: where to resume after a lost connection. */
    int nextOutput() {
        return nextOutput;
    }

    void setNextOutput(int next) {
        nextOutput = next;
    }
}
