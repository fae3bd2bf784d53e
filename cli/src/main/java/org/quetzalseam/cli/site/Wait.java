package org.quetzalseam.cli.site;

import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

/** Blocks until a condition holds or a time has passed. Stateless. */
public final class Wait {
    private static final long POLL_NANOS = 5_000_000;

    private Wait() {}

    /** Waits until a condition holds. Throws {@link IllegalStateException} if it does not hold within the limit. */
    public static void until(Duration limit, String what, BooleanSupplier condition) {
        long end = System.nanoTime() + limit.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - end > 0) {
                throw new IllegalStateException("condition not met within " + limit + ": " + what);
            }
            LockSupport.parkNanos(POLL_NANOS);
        }
    }

    /** Sleeps for the given time, or until the thread is interrupted. Leaves the interrupt flag set. */
    public static void sleep(Duration time) {
        long end = System.nanoTime() + time.toNanos();
        long left = time.toNanos();
        while (left > 0 && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(left);
            left = end - System.nanoTime();
        }
    }
}
