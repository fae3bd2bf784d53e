package org.quetzalseam.gateway.runtime;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/** Timed calls on one event loop. A call that throws is logged; one that repeats goes on. */
public final class Timers {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final EventLoop loop;
    private final LongSupplier monotonicNanos;
    private final LongSupplier wallMillis;

    /** Creates timers of an event loop, by the machine's clocks. */
    public Timers(EventLoop loop) {
        this(loop, System::nanoTime, System::currentTimeMillis);
    }

    /**
     * Creates timers of an event loop.
     *
     * @param loop the event loop
     * @param monotonicNanos the monotonic clock
     * @param wallMillis the time of day, which may jump
     */
    public Timers(EventLoop loop, LongSupplier steadyNanos, LongSupplier wallMillis) {
        this.loop = loop;
        this.monotonicNanos = steadyNanos;
        this.wallMillis = wallMillis;
    }

    /** Returns the monotonic time in nanoseconds. */
    public long now() {
        return monotonicNanos.getAsLong();
    }

    /** Returns the time of day in milliseconds; it may jump. */
    public long wallMillis() {
        return wallMillis.getAsLong();
    }

    /** Calls as soon as what the loop is doing now has ended. */
    public void soon(Runnable call) {
        loop.execute(guarded(call));
    }

    /** Calls once, after so many milliseconds. */
    public ScheduledCall after(long millis, Runnable call) {
        Future<?> scheduled = loop.schedule(guarded(call), Math.max(0, millis), TimeUnit.MILLISECONDS);
        return () -> scheduled.cancel(false);
    }

    /** Calls again and again, with so many milliseconds from one call to the next. */
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
