package org.quetzalseam.gateway.runtime;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts and logs exceptions and errors that a callback threw, such as an {@link OutOfMemoryError}. Works while the heap is full:
 * what cannot be logged then is counted, and stated by the next line that can be written. Thread-safe.
 */
public final class ThrownErrors {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final AtomicLong TOTAL = new AtomicLong();
    private static final AtomicLong NOT_LOGGED = new AtomicLong();

    private ThrownErrors() {}

    /**
     * Records what a callback threw.
     *
     * @param where the callback, from a fixed set of names
     * @param thrown what it threw
     */
    public static void record(String where, Throwable thrown) {
        TOTAL.incrementAndGet();
        try {
            logger.atSevere().withCause(thrown).log("event=callback-failed in=%s thrown=%s", where, thrown);
        } catch (Throwable whileLogging) {
            NOT_LOGGED.incrementAndGet();
        }
    }

    /** Returns how many have been recorded since the process started. */
    public static long total() {
        return TOTAL.get();
    }

    /** Logs how many could not be logged when they were thrown, if any. */
    public static void logMissed() {
        long missed = NOT_LOGGED.get();
        if (missed > 0) {
            logger.atSevere().log("event=callback-failures-not-logged count=%d", missed);
            NOT_LOGGED.addAndGet(-missed);
        }
    }
}
