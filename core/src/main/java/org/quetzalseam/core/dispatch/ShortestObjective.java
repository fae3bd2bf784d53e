package org.quetzalseam.core.dispatch;

import java.util.concurrent.TimeUnit;

/** The shortest objective of the requests of the last seconds. Not thread-safe. */
final class ShortestObjective {
    private static final long PERIOD_NANOS = TimeUnit.SECONDS.toNanos(10);

    private long current = Long.MAX_VALUE;
    private long previous = Long.MAX_VALUE;
    private long startedAt;

    ShortestObjective(long now) {
        startedAt = now;
    }

    void add(long objectiveNanos, long now) {
        if (now - startedAt > PERIOD_NANOS) {
            previous = current;
            current = Long.MAX_VALUE;
            startedAt = now;
        }
        current = Math.min(current, objectiveNanos);
    }

    long nanos() {
        return Math.min(current, previous);
    }
}
