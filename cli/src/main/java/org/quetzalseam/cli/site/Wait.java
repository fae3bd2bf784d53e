package org.quetzalseam.cli.site;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Waits for conditions that come about on other threads. Stateless. */
public final class Wait {
    private static final long POLL_NANOS = 5_000_000;

    private Wait() {}

    /** Waits until a condition holds, or throws when it doesn't within the limit. */
    public static void until(Duration limit, String what, BooleanSupplier condition) {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("not within " + limit + ": " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Lets time pass. */
    public static void sleep(Duration time) {
        long end = System.nanoTime() + time.toNanos();
        long left = time.toNanos();
        while (left > 0 && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(left);
            left = end - System.nanoTime();
        }
    }
}
