package org.quetzalseam.gateway.runtime;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Schedules calls on one event loop. A call that throws is logged; a repeated call is then still repeated. */
public final class Timers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final EventLoop loop;
    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;

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
            } catch (RuntimeException e) {
                logger.atSevere().withCause(e).log("event=timer-call-failed");
            }
        };
    }
}
