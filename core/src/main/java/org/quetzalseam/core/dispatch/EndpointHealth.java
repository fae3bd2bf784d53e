package org.quetzalseam.core.dispatch;

import java.util.concurrent.TimeUnit;

/**
 * Whether an endpoint may have as many requests as its limit allows, or one at a time because it fails or its answers have stopped.
 * Not thread-safe. Times are monotonic nanoseconds.
 */
final class EndpointHealth {
    /** Failures in a row from which the endpoint counts as failing; a single one may be due to its request. */
    private static final int FAILURES = 2;
    /** Mean response times without any answer after which answers count as stopped; 1 answer in 100 takes five times as long. */
    private static final int SILENT_MEANS = 6;
    /** Least time without an answer, in nanoseconds, for endpoints that have not answered yet or answer very fast. */
    private static final long LEAST_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** First pause between two trials, in nanoseconds. An endpoint that fails fast would otherwise consume a call every few milliseconds. */
    private static final long FIRST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    /** Longest pause between two trials, in nanoseconds; a healthy endpoint is used again at most that late. */
    private static final long LONGEST_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    private int failures;
    private boolean silent;
    private long quietSince;
    private long pausedUntil;
    private long pauseNanos = FIRST_PAUSE_NANOS;

    EndpointHealth(long now) {
        quietSince = now;
        pausedUntil = now;
    }

    /** Returns how many requests the endpoint may have. */
    int allowed(int limit, long now) {
        if (!limited()) {
            return limit;
        }
        return now < pausedUntil ? 0 : 1;
    }

    /** Returns whether it gets one request at a time. */
    boolean limited() {
        return silent || failures >= FAILURES;
    }

    /** Records that a request is sent to it. */
    void sent(int inUseBefore, long now) {
        if (inUseBefore == 0) {
            quietSince = now;
        }
    }

    /** Records an answer or a rejection, which show that it runs. */
    void answered(long now) {
        failures = 0;
        silent = false;
        pauseNanos = FIRST_PAUSE_NANOS;
        quietSince = now;
    }

    /** Records a failure, and returns whether the endpoint has just become one that fails. */
    boolean failed(long now) {
        failures++;
        if (limited()) {
            pausedUntil = now + pauseNanos;
            pauseNanos = Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
        }
        return failures == FAILURES;
    }

    /** Checks whether answers have stopped, and returns whether this has just been found. */
    boolean check(int inUse, long meanNanos, long now) {
        if (silent || inUse == 0 || now - quietSince <= Math.max(LEAST_SILENCE_NANOS, SILENT_MEANS * meanNanos)) {
            return false;
        }
        silent = true;
        return true;
    }
}
