package org.quetzalseam.gateway.runtime;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Schedules calls on one event loop. A call that throws an exception or an error is logged, and a
 * repeated call is repeated nevertheless. */
public final class Timers {
    /** By how much the wall clock may run ahead of the monotonic clock between two readings without a suspension, in nanoseconds. */
    private static final long CLOCK_DRIFT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final EventLoop loop;
    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;
    private boolean clocksCompared;
    private long wallAheadNanos;
    private long suspendedNanos;

    /** Creates timers of an event loop that use the system clocks. */
    public Timers(EventLoop loop) {
        this(loop, System::nanoTime, System::currentTimeMillis);
    }

    /**
     * Creates timers of an event loop.
     *
     * @param loop the event loop that runs the calls
     * @param monotonicNanos the monotonic clock, in nanoseconds
     * @param wallMillis the wall clock, in milliseconds, which may jump
     */
    public Timers(EventLoop loop, LongSupplier monotonicNanos, LongSupplier wallMillis) {
        this.loop = loop;
        this.monotonicNanos = monotonicNanos;
        this.wallMillis = wallMillis;
    }

    /** Returns the monotonic time in nanoseconds. */
    public long now() {
        return monotonicNanos.getAsLong();
    }

    /** Returns the wall clock time in milliseconds, which may jump. */
    public long wallMillis() {
        return wallMillis.getAsLong();
    }

    /**
     * Returns a monotonic time in nanoseconds that also counts the time for which the machine was suspended, which the monotonic
     * clock does not. A wall clock that jumps forward looks like a suspension, so this time may run ahead but not lag behind, unless
     * the wall clock is set back during a suspension. Used on the event loop only.
     */
    public long elapsed() {
        long monotonic = now();
        long ahead = TimeUnit.MILLISECONDS.toNanos(wallMillis()) - monotonic;
        if (clocksCompared && ahead - wallAheadNanos > CLOCK_DRIFT_NANOS) {
            suspendedNanos += ahead - wallAheadNanos;
        }
        clocksCompared = true;
        wallAheadNanos = ahead;
        return monotonic + suspendedNanos;
    }

    /** Calls once, after the tasks that the event loop already has. */
    public void soon(Runnable call) {
        loop.execute(guarded(call));
    }

    /** Calls once, after a delay in milliseconds. */
    public ScheduledCall after(long millis, Runnable call) {
        Future<?> scheduled = loop.schedule(guarded(call), Math.max(0, millis), TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Calls repeatedly, with a pause in milliseconds before each call. */
    public ScheduledCall every(long millis, Runnable call) {
        Future<?> scheduled = loop.scheduleWithFixedDelay(guarded(call), millis, millis, TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    private static Runnable guarded(Runnable call) {
        return () -> {
            try {
                call.run();
            } catch (Throwable e) {
                // The event loop would not repeat a call that ends with an error.
                ThrownErrors.record("timer", e);
            }
        };
    }
}
