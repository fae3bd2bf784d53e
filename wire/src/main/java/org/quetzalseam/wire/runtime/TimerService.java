package org.quetzalseam.wire.runtime;

import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Schedules all timed calls of a process. Components subscribe, and cancel their subscriptions when they stop. Thread-safe.
 *
 * <p>Calls run on a few shared threads and must not block for long. If a periodic call throws, the
 * exception or error is logged and the call is repeated as usual.
 */
public final class TimerService implements Service {
    private static final int THREADS = 2;

    /** A subscription that can be cancelled; cancelling twice is harmless. */
    @FunctionalInterface
    public interface Subscription {
        /** Prevents further calls; a call in progress is not interrupted. */
        void cancel();
    }

    private final ScheduledExecutorService executor;

    /** Creates a timer service whose threads are named after the process. */
    public TimerService(String name) {
        executor = Executors.newScheduledThreadPool(THREADS, Threads.named(name + "-timer"));
    }

    /** Returns the current time of the monotonic clock, in nanoseconds. */
    public long now() {
        return System.nanoTime();
    }

    /** Calls periodically, {@code period} after the subscription and then {@code period} after the end of each call. */
    public Subscription every(Duration period, Runnable call) {
        return schedule(() -> executor.scheduleWithFixedDelay(
                logFailures(call), period.toNanos(), period.toNanos(), TimeUnit.NANOSECONDS));
    }

    /** Calls once, after {@code delay}. */
    public Subscription after(Duration delay, Runnable call) {
        return schedule(() -> executor.schedule(logFailures(call), delay.toNanos(), TimeUnit.NANOSECONDS));
    }

    private static Subscription schedule(java.util.function.Supplier<ScheduledFuture<?>> scheduling) {
        try {
            ScheduledFuture<?> future = scheduling.get();
            return () -> future.cancel(false);
        } catch (RejectedExecutionException expected) {
            // The process is stopping, so the call would never be made.
            return () -> {};
        }
    }

    private static Runnable logFailures(Runnable call) {
        return () -> {
            try {
                call.run();
            } catch (Throwable e) {
                // The executor would not repeat a call that ends with an error.
                ThrownErrors.record("timer", e);
            }
        };
    }

    @Override
    public void start() {
        // The executor starts its threads on the first subscriptions.
    }

    @Override
    public void stop() {
        executor.shutdownNow();
    }
}
