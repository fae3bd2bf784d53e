package org.quetzalseam.daemon.platform;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;

/**
 * Follows something in the platform's store on a thread of its own: round after round, each of which waits in the store.
 * After a round that failed it pauses, with jitter, and asks for an answer at once; an outage ends nothing. Thread-safe.
 *
 * <p>Open connections may go silent for good while new ones work. The wait is so short that a change is in force in time after two
 * silent connections in a row.
 */
public final class WatchLoop implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long MIN_RETRY_MILLIS = 500;
    /** How long a round waits for something new. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(5);

    private final String name;
    private final Consumer<Duration> poll;
    private final Thread thread;
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Creates a loop.
     *
     * @param name appears in logs and as the thread's name
     * @param round is told how long to wait for something new
     */
    public WatchLoop(String name, Consumer<Duration> round) {
        this.name = name;
        this.poll = round;
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
            } catch (RuntimeException e) {
                wait = Duration.ZERO;
                logger.atFine().log("event=watch-failed name=%s reason=\"%s\"", name, e.getMessage());
                pause(MIN_RETRY_MILLIS + ThreadLocalRandom.current().nextLong(MIN_RETRY_MILLIS));
            }
        }
    }

    /** Lets time pass in a round; returns early when the loop is stopped. */
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
