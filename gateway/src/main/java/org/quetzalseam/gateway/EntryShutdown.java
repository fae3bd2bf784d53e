package org.quetzalseam.gateway;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.drain.GracePeriod;
import org.quetzalseam.gateway.caller.CallerServer;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.route.RequestRouter;
import org.quetzalseam.gateway.runtime.Timers;

/** The planned stop of an entry, from the signal to the moment at which the process may end. */
final class EntryShutdown {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How often a leaving entry looks whether it is done, in milliseconds. */
    private static final long DRAIN_CHECK_MILLIS = 50;
    /** Time for the last answers to be written, in milliseconds; part of what the grace period keeps for the end. */
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

    /** Returns when nothing is under way any more, or the time is up. */
    void run(long graceMillis, EntryCount entries) {
        long begunAt = timers.now();
        GracePeriod grace =
                new GracePeriod(begunAt, TimeUnit.MILLISECONDS.toNanos(graceMillis), entries.rank(), entries.entries());
        timers.soon(() -> {
            logger.atInfo().log("event=leaving requests=%d", callers.inProgress());
            callers.startDraining();
            router.startDraining(grace);
            checkDrained(grace, begunAt);
        });
        try {
            if (!done.await(graceMillis, TimeUnit.MILLISECONDS)) {
                logger.atWarning().log("event=left-late grace_ms=%d", graceMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void checkDrained(GracePeriod grace, long begunAt) {
        long now = timers.now();
        if (grace.isOver(now) || grace.mayEndEarly(now, callers.inProgress() + callers.arriving())) {
            finish(TimeUnit.NANOSECONDS.toMillis(now - begunAt));
            return;
        }
        if (grace.isNoticed(now)) {
            callers.closeIdle();
        }
        timers.after(DRAIN_CHECK_MILLIS, () -> checkDrained(grace, begunAt));
    }

    private void finish(long ageMillis) {
        logger.atInfo().log("event=left requests_cut=%d age_ms=%d", callers.inProgress(), ageMillis);
        callers.stopListening();
        callers.endAll();
        timers.after(FINAL_WRITE_MILLIS, done::countDown);
    }
}
