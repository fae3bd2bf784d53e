package org.quetzalseam.daemon.platform;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;
import org.quetzalseam.wire.runtime.ThrownErrors;

/**
 * Watches an object or a list in the platform's store on a thread of its own, by repeated long polls.
 * After a failed poll it pauses, with jitter, and then polls without waiting; neither an outage nor an error ends the loop. Thread-safe.
 *
 * <p>Open connections may stay unresponsive for good while new ones work. The wait of a poll is short enough for a change to be in
 * force in time even after two unresponsive connections in a row.
 */
public final class WatchLoop implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Shortest pause after a failed poll; jitter adds up to the same time again. */
    private static final long MIN_RETRY_MILLIS = 500;
    /** How long a poll waits in the store for a change. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(5);

    private final String name;
    private final Consumer<Duration> poll;
    private final Thread thread;
    private final CountDownLatch stopped = new CountDownLatch(1);
    /** Used on the loop's thread only. */
    private long failuresInARow;

    /**
     * Creates a loop.
     *
     * @param name name of the thread, also written to logs
     * @param poll polls once; its argument is how long to wait for a change
     */
    public WatchLoop(String name, Consumer<Duration> poll) {
        this.name = name;
        this.poll = poll;
        this.thread = Threads.daemon(name, this::run);
    }

    @Override
    public void start() {
        thread.start();
    }

    private void run() {
        Duration wait = POLL_WAIT;
        while (stopped.getCount() > 0) {
            try {
                poll.accept(wait);
                wait = POLL_WAIT;
                recordPolled();
            } catch (Throwable e) {
                wait = Duration.ZERO;
                recordFailure(e);
                pause(MIN_RETRY_MILLIS + ThreadLocalRandom.current().nextLong(MIN_RETRY_MILLIS));
            }
        }
    }

    private void recordPolled() {
        if (failuresInARow > 0) {
            logger.atInfo().log("event=watch-recovered name=%s failures=%d", name, failuresInARow);
            failuresInARow = 0;
        }
    }

    /** Logs the first of several failures in a row, and each error. */
    private void recordFailure(Throwable failure) {
        failuresInARow++;
        if (failure instanceof Error || (failuresInARow == 1 && !(failure instanceof StoreException))) {
            ThrownErrors.record(name, failure);
        } else if (failuresInARow == 1) {
            logger.atWarning().log("event=watch-failed name=%s reason=\"%s\"", name, failure.getMessage());
        }
    }

    /** Sleeps within a poll; returns early when the loop is stopped. */
    public void pause(long millis) {
        try {
            if (stopped.await(millis, TimeUnit.MILLISECONDS)) {
                logger.atFine().log("event=watch-stopped name=%s", name);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            stopped.countDown();
        }
    }

    @Override
    public void stop() {
        stopped.countDown();
        thread.interrupt();
    }
}
