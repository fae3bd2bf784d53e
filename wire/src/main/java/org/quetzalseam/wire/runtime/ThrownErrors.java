package org.quetzalseam.wire.runtime;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts and logs exceptions and errors that a callback or a loop threw, such as an {@link OutOfMemoryError}. Never throws, also where
 * the heap is too full to log. Thread-safe.
 */
public final class ThrownErrors {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final AtomicLong TOTAL = new AtomicLong();

    private ThrownErrors() {}

    /**
     * Records what was thrown.
     *
     * @param where what threw it, from a fixed set of names
     * @param thrown what was thrown
     */
    public static void record(String where, Throwable thrown) {
        long total = TOTAL.incrementAndGet();
        try {
            logger.atSevere().withCause(thrown).log(
                    "event=callback-failed in=%s total=%d thrown=%s", where, total, thrown);
        } catch (Throwable whileLogging) {
            // The total of the next line that can be written counts this one.
        }
    }

    /** Returns how many have been recorded since the process started. */
    public static long total() {
        return TOTAL.get();
    }
}
