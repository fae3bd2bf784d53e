package org.quetzalseam.standins;

import java.util.concurrent.locks.LockSupport;

/** Simulates processing time by pausing the current thread until the time is over or it is interrupted. Stateless. */
final class Pause {
    private Pause() {}

    static void millis(long millis) {
        nanos(millis * 1_000_000);
    }

    static void nanos(long nanos) {
        long end = System.nanoTime() + nanos;
        long left = nanos;
        while (left > 0 && !Thread.currentThread().isInterrupted()) {
            LockSupport.parkNanos(left);
            left = end - System.nanoTime();
        }
    }
}
