package org.quetzalseam.daemon.entry;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.ProbeAllowance;
import org.quetzalseam.wire.message.LostRequest;

/**
 * Knows the requests that have crashed back ends, from the reports of all endpoints that this entry is linked to. A suspect is
 * sent to one endpoint only, which limits its probes. Thread-safe.
 *
 * <p>While no crash is known, no fingerprint is computed.
 */
final class Quarantine {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long a crash counts. */
    private static final Duration KEEP = Duration.ofMinutes(10);
    /** How long the crashes of a suspect count: its caller may still come back after the last probe. */
    private static final Duration SUSPECT_KEEP = Duration.ofHours(1);

    /** Maximum time for which no endpoint is asked again: the probe of another entry may clear the request meanwhile. */
    private static final long MAX_WAIT_NANOS = ProbeAllowance.INTERVAL_NANOS;

    private static final String CODE = "quarantined";
    private static final String MESSAGE = "back ends have crashed while they ran this request";
    private static final String SELF = "self";

    private final LongSupplier clock;
    private final CrashLedger ledger = new CrashLedger(SELF, KEEP.toNanos(), SUSPECT_KEEP.toNanos());

    private final Map<String, Postponed> postponed = new HashMap<>();

    /** When an endpoint may be asked for a probe again, and when the caller is told to come back. */
    private record Postponed(long askAt, long retryAt) {}

    /** Creates a quarantine without suspects; the clock gives monotonic nanoseconds. */
    Quarantine(LongSupplier clock) {
        this.clock = clock;
    }

    /** Learns from an endpoint which requests were lost in crashes of its back end. */
    void learn(String endpoint, List<LostRequest> lost) {
        for (LostRequest request : lost) {
            learn(endpoint, request);
        }
    }

    private synchronized void learn(String endpoint, LostRequest lost) {
        long now = clock.getAsLong();
        boolean before = ledger.isSuspect(lost.request(), now);
        ledger.recordLost(lost.request(), lost.crash(), now);
        Set<String> crashes = ledger.crashes(lost.request(), now);
        logger.atInfo().log(
                "event=crash-counted fingerprint=%s endpoint=%s crash=%s crashed=%s",
                lost.request(), endpoint, lost.crash(), crashes);
        if (!before && ledger.isSuspect(lost.request(), now)) {
            logger.atInfo().log("event=request-suspected fingerprint=%s crashed=%s", lost.request(), crashes);
        }
    }

    /** Returns whether a request is taken for the cause of crashes. */
    synchronized boolean isSuspect(Supplier<String> fingerprint) {
        return ledger.mayHaveSuspects() && ledger.isSuspect(fingerprint.get(), clock.getAsLong());
    }

    /** Records that a back end has run a request to its end, so that the request has not caused the crashes known of it. */
    synchronized void recordEnded(Supplier<String> fingerprint) {
        long now = clock.getAsLong();
        if (ledger.isEmpty(now)) {
            return;
        }
        String request = fingerprint.get();
        boolean suspect = ledger.isSuspect(request, now);
        int dismissed = ledger.recordEnded(request, now);
        postponed.remove(request);
        if (suspect) {
            logger.atInfo().log("event=request-cleared fingerprint=%s dismissed=%d", request, dismissed);
        }
    }

    /** Returns after what time a suspect may be sent again, in milliseconds; 0 if an endpoint may be asked now. */
    synchronized long waitMillis(String request) {
        Postponed known = postponed.get(request);
        long now = clock.getAsLong();
        return known == null || known.askAt() - now <= 0
                ? 0
                : Math.max(1, Duration.ofNanos(known.retryAt() - now).toMillis());
    }

    /**
     * Returns the result of a request that may not be sent now, because it has crashed back ends.
     *
     * @param id the request's id
     * @param request its fingerprint
     * @param outcome whether an earlier attempt of it may have run
     * @param retrySafe whether it may safely run again
     * @param retryAfterMillis after what time it may be sent again, in milliseconds
     */
    synchronized RunResult refusal(
            String id, String request, Outcome outcome, boolean retrySafe, long retryAfterMillis) {
        logger.atInfo().log(
                "event=quarantine-refused request=%s retry_after_ms=%d outcome=%s fingerprint=%s crashed=%s",
                id, retryAfterMillis, outcome.label(), request, ledger.crashes(request, clock.getAsLong()));
        if (waitMillis(request) == 0) {
            long now = clock.getAsLong();
            long waitNanos = Duration.ofMillis(retryAfterMillis).toNanos();
            postponed.put(request, new Postponed(now + Math.min(waitNanos, MAX_WAIT_NANOS), now + waitNanos));
        }
        return new RunResult(outcome, CODE, MESSAGE, retrySafe, retryAfterMillis, "", 0);
    }

    /** Returns the number of suspects. */
    synchronized int suspects() {
        return ledger.suspects(clock.getAsLong()).size();
    }

    /** Forgets what no longer counts. */
    synchronized void dropExpired() {
        long now = clock.getAsLong();
        ledger.dropExpired(now);
        postponed.values().removeIf(known -> known.retryAt() - now <= 0);
    }
}
