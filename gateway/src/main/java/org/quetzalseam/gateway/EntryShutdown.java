package org.quetzalseam.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.drain.GracePeriod;
import org.quetzalseam.gateway.caller.CallerServer;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.route.RequestRouter;
import org.quetzalseam.gateway.runtime.Timers;

/** Shuts an entry down in order, from the stop signal until the process may exit. */
final class EntryShutdown {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often a draining entry checks whether all requests have ended, in milliseconds. */
    private static final long DRAIN_CHECK_MILLIS = 50;
    /** Time allowed for writing the last answers, in milliseconds; part of the grace period's margin for the end. */
    private static final long FINAL_WRITE_MILLIS = 100;

    private final Timers timers;
    private final CallerServer callers;
    private final RequestRouter router;
    private final CountDownLatch done = new CountDownLatch(1);

    EntryShutdown(Timers timers, CallerServer callers, RequestRouter router) {
        this.timers = timers;
        this.callers = callers;
        this.router = router;
    }

    /**
     * Drains the entry. Returns when no request is in progress any more, or when the grace period is over.
     *
     * @param graceMillis the grace period, in milliseconds
     * @param entries the number of entries, which shut down one after the other, and this entry's rank among them
     */
    void run(long graceMillis, EntryCount entries) {
        long startedAt = timers.now();
        GracePeriod grace = new GracePeriod(
                startedAt, TimeUnit.MILLISECONDS.toNanos(graceMillis), entries.rank(), entries.entries());
        timers.soon(() -> {
            logger.atInfo().log("event=leaving requests=%d", callers.inProgress());
            callers.startDraining();
            router.startDraining(grace);
            checkDrained(grace, startedAt);
        });
        try {
            if (!done.await(graceMillis, TimeUnit.MILLISECONDS)) {
                logger.atWarning().log("event=left-late grace_ms=%d", graceMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkDrained(GracePeriod grace, long startedAt) {
        long now = timers.now();
        if (grace.isOver(now) || grace.mayEndEarly(now, callers.inProgress() + callers.arriving())) {
            finish(TimeUnit.NANOSECONDS.toMillis(now - startedAt));
            return;
        }
        if (grace.isNoticed(now)) {
            callers.closeIdle();
        }
        timers.after(DRAIN_CHECK_MILLIS, () -> checkDrained(grace, startedAt));
    }

    private void finish(long elapsedMillis) {
        logger.atInfo().log("event=left requests_cut=%d age_ms=%d", callers.inProgress(), elapsedMillis);
        callers.stopListening();
        callers.endAll();
        timers.after(FINAL_WRITE_MILLIS, done::countDown);
    }
}
