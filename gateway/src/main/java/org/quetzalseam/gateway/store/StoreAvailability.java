package org.quetzalseam.gateway.store;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;

/** Logs when the store is away, as the calls of one kind show it, and tells how long objects may then be missing. Not thread-safe. */
final class StoreAvailability {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String kind;
    private final RewriteWindow rewrites = new RewriteWindow();

    StoreAvailability(String kind) {
        this.kind = kind;
    }

    void callFailed(StoreFailure failure, CallTimes times, long now) {
        // An answer that can't be read shows that the store is there.
        boolean outageBegins = failure.kind() != StoreFailure.Kind.UNREADABLE
                && rewrites.callFailed(times.sentAtNanos(), times.late(now));
        if (outageBegins) {
            logger.atWarning().log(
                    "event=store-lost kind=%s failure=%s wait_ms=%d age_ms=%d detail=\"%s\"",
                    kind, failure.kind(), times.waitMillis(), times.ageMillis(now), failure.detail());
        } else if (!rewrites.outage()) {
            logger.atInfo().log(
                    "event=store-call-failed kind=%s failure=%s wait_ms=%d age_ms=%d detail=\"%s\"",
                    kind, failure.kind(), times.waitMillis(), times.ageMillis(now), failure.detail());
        }
    }

    void callAnswered(CallTimes times, long now) {
        if (rewrites.callAnswered(times.sentAtNanos(), times.late(now))) {
            logger.atInfo().log(
                    "event=store-back kind=%s rewrite_ms=%d", kind, TimeUnit.NANOSECONDS.toMillis(rewriteNanos(now)));
        }
    }

    void storeRestored(CallTimes times) {
        rewrites.storeRestored(times.sentAtNanos());
    }

    /** Returns for how much longer objects of live processes may be missing, in nanoseconds; 0 if they should all be there. */
    long rewriteNanos(long now) {
        return rewrites.remaining(now);
    }
}
