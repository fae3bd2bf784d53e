package org.quetzalseam.gateway.store;

import java.util.concurrent.TimeUnit;

/**
 * When a call to the store was made and how long it was to wait. Immutable.
 *
 * @param sentAt when it was made by the clock that counts suspensions, in nanoseconds
 * @param sentAtNanos when it was made by the monotonic clock, in nanoseconds
 * @param waitMillis how long the store was to wait for a change, in milliseconds
 */
record CallTimes(long sentAt, long sentAtNanos, long waitMillis) {
    long waitNanos() {
        return TimeUnit.MILLISECONDS.toNanos(waitMillis);
    }

    long ageMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - sentAtNanos);
    }

    /** Returns whether an answer would be late now. */
    boolean late(long nowNanos) {
        return ageMillis(nowNanos) >= waitMillis + KindWatch.LATE_AFTER_MILLIS;
    }
}
