package org.quetzalseam.gateway.crash;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.ProbeAllowance;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectStore;

/**
 * Quarantines requests that have crashed the endpoints that ran them, whichever entry sent them there. Used on the event loop
 * only.
 *
 * <p>While no crash is known, nothing is computed or asked for. After a crash, each entry reports the requests that it lost,
 * and all entries read the reports a few times. A request that three crashes have in common, and that has ended nowhere since,
 * is a suspect: it is refused, except for a few probes that all entries share. A probe that ends clears the request.
 */
public final class CrashGuard {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long a crash or a probe counts, in nanoseconds. */
    private static final long KEEP_NANOS = ProbeAllowance.PROBE_KEEP_NANOS;
    /** How long the crashes of a suspect count, in nanoseconds: its caller may still come back after the last probe. */
    private static final long SUSPECT_KEEP_NANOS = TimeUnit.HOURS.toNanos(1);
    /** Interval of the checks for crashes that no longer count, in milliseconds. */
    private static final long EXPIRY_CHECK_MILLIS = 60_000;
    /** Time after which the store is asked again when it did not answer, in milliseconds. */
    private static final long STORE_RETRY_MILLIS = 1_000;
    /**
     * Time in which a probe whose connection is lost turns out to have crashed its endpoint, in milliseconds: an attempt to connect
     * to an endpoint that is down fails at once.
     */
    private static final long LOST_PROBE_MILLIS = 1_000;

    private final Timers timers;
    private final String self;
    private final CrashLedger ledger;
    private final Map<String, Suspect> suspects = new HashMap<>();
    private @Nullable CrashReports reports;
    private @Nullable ReportSchedule schedule;
    private boolean loaded = true;

    /** Creates a guard that knows of no crash, and shares what it learns with no other entry before {@link #start}. */
    public CrashGuard(Timers timers, String self) {
        this.timers = timers;
        this.self = self;
        this.ledger = new CrashLedger(self, KEEP_NANOS, SUSPECT_KEEP_NANOS);
    }

    /**
     * Starts to share reports with the other entries.
     *
     * @param store the platform's store
     * @param firstStart whether the entire site starts for the first time, so that there are no reports yet
     * @param onLoaded called when the reports have been read, if they have to be
     */
    public void start(ObjectStore store, boolean firstStart, Runnable onLoaded) {
        CrashReports shared = new CrashReports(timers, store, self, ledger);
        ReportSchedule planned = new ReportSchedule(timers, shared);
        reports = shared;
        schedule = planned;
        timers.every(EXPIRY_CHECK_MILLIS, this::dropExpired);
        if (firstStart) {
            return;
        }
        loaded = false;
        shared.read(read -> {
            loaded = true;
            if (!read) {
                planned.readSoon();
            }
            onLoaded.run();
        });
    }

    /** Returns whether the reports of earlier crashes have been read, or can't be read now. */
    public boolean loaded() {
        return loaded;
    }

    /** Returns the number of requests that are quarantined. */
    public int suspects() {
        return suspects.size();
    }

    /**
     * Decides whether a request may run.
     *
     * @param run called, at once or after the store was asked, if the request may run
     * @param refuse called otherwise
     */
    public void admit(Exchange exchange, Runnable run, Runnable refuse) {
        if (!isSuspect(exchange)) {
            run.run();
            return;
        }
        Suspect suspect = suspect(exchange.fingerprint());
        if (suspect.waitForRead(() -> decideAfterRead(exchange, run, refuse))) {
            exchange.onShutdown(refuse);
            return;
        }
        if (!suspect.ask(timers.now())) {
            refuse.run();
            return;
        }
        exchange.onShutdown(refuse);
        new ProbeRequest(exchange, suspect, run, refuse).start();
    }

    private void decideAfterRead(Exchange exchange, Runnable run, Runnable refuse) {
        if (exchange.ended()) {
            return;
        }
        if (isSuspect(exchange)) {
            refuse.run();
        } else {
            run.run();
        }
    }

    /** Returns whether a request must not be sent to an endpoint now. */
    public boolean quarantines(Exchange exchange) {
        return isSuspect(exchange) && !suspect(exchange.fingerprint()).allows(exchange, timers.now());
    }

    /** Records that a request was sent to an endpoint that will run it; a probe allows that once. */
    public void recordSent(Exchange exchange) {
        Suspect suspect = knownSuspect(exchange);
        String probe = suspect == null ? null : suspect.recordSent(exchange, timers.now());
        if (probe != null) {
            ledger.recordProbeSent(exchange.fingerprint(), probe, timers.now());
            reportSoon(true);
        }
    }

    /** Records that a request has not reached an endpoint after all; a probe may go on to another one. */
    public void recordNotSent(Exchange exchange) {
        Suspect suspect = knownSuspect(exchange);
        if (suspect != null && !exchange.ended()) {
            suspect.recordNotSent(exchange, timers.now());
        }
    }

    /** Records that an endpoint has rejected a request without running it; a probe may go on to another one, once. */
    public void recordRejected(Exchange exchange) {
        Suspect suspect = knownSuspect(exchange);
        if (suspect != null) {
            suspect.recordRejected(exchange, timers.now());
        }
    }

    private @Nullable Suspect knownSuspect(Exchange exchange) {
        return suspects.isEmpty() ? null : suspects.get(exchange.fingerprint());
    }

    private boolean isSuspect(Exchange exchange) {
        return ledger.mayHaveSuspects() && ledger.isSuspect(exchange.fingerprint(), timers.now());
    }

    private Suspect suspect(String request) {
        return suspects.computeIfAbsent(request, added -> {
            logger.atInfo().log("event=request-suspected fingerprint=%s %s", request, describe(request));
            long now = timers.now();
            return new Suspect(now - ledger.latestCrashAgeNanos(request, now));
        });
    }

    /** Returns after what time a request that is quarantined may be sent again, in milliseconds. */
    public long retryAfterMillis(Exchange exchange) {
        long nanos = suspect(exchange.fingerprint()).waitNanos(timers.now());
        return Math.max(TimeUnit.NANOSECONDS.toMillis(nanos), STORE_RETRY_MILLIS);
    }

    /** Returns the inputs of a decision on a request as {@code key=value} pairs for the log. */
    public String describe(Exchange exchange) {
        return "fingerprint=" + exchange.fingerprint() + " " + describe(exchange.fingerprint());
    }

    private String describe(String request) {
        long now = timers.now();
        CrashReports shared = reports;
        long ageNanos = shared == null ? Long.MAX_VALUE : shared.ageNanos();
        return String.format(
                "crashed=%s reported_by=%s probes=%d sent=%d reports_age_ms=%d",
                ledger.crashes(request, now),
                ledger.reporters(request, now),
                ledger.probes(request, now),
                ledger.sentProbes(request, now),
                ageNanos == Long.MAX_VALUE ? -1 : TimeUnit.NANOSECONDS.toMillis(ageNanos));
    }

    /** Records that the connection was lost on which an endpoint may have run a request; it counts if the endpoint crashed. */
    public void recordLost(Exchange exchange, Endpoint endpoint) {
        String request = exchange.fingerprint();
        endpoint.ifCrashed(() -> crashed(request, endpoint));
        Suspect suspect = suspects.get(request);
        if (suspect != null && suspect.isLatestProbe(exchange)) {
            int crashes = ledger.crashes(request, timers.now()).size();
            timers.after(LOST_PROBE_MILLIS, () -> probeLost(request, suspect, exchange, crashes));
        }
    }

    /** Allows a probe to be repeated, unless its endpoint has crashed. */
    private void probeLost(String request, Suspect suspect, Exchange exchange, int crashesBefore) {
        long now = timers.now();
        boolean crashed = ledger.crashes(request, now).size() > crashesBefore;
        if (!crashed && suspect.repeatProbe(exchange, now)) {
            logger.atInfo().log(
                    "event=probe-without-result request=%s %s", exchange.facts().id(), describe(exchange));
        }
    }

    private void crashed(String request, Endpoint endpoint) {
        long now = timers.now();
        ledger.recordLost(request, endpoint.member().incarnation().toString(), now);
        logger.atInfo().log(
                "event=crash-counted fingerprint=%s endpoint=%s %s",
                request, endpoint.member().id(), describe(request));
        if (ledger.isSuspect(request, now)) {
            suspect(request);
        }
        reportSoon(true);
    }

    /** Records that an endpoint has run a request to its end, so that the request has not caused the crashes known of it. */
    public void recordEnded(Exchange exchange) {
        long now = timers.now();
        if (ledger.isEmpty(now)) {
            return;
        }
        String request = exchange.fingerprint();
        int dismissed = ledger.recordEnded(request, now);
        if (dismissed > 0 && suspects.remove(request) != null) {
            logger.atInfo().log("event=request-cleared fingerprint=%s dismissed=%d", request, dismissed);
        }
        if (dismissed > 0) {
            // Entries that don't know of the end would count the dismissed crashes with the next ones.
            reportSoon(dismissed >= CrashLedger.SUSPECT_CRASHES);
        }
    }

    /** Records that an endpoint has ended unplanned: other entries may report what it ran. */
    public void recordEndpointEnded() {
        readSoon();
    }

    private void readSoon() {
        ReportSchedule planned = schedule;
        if (planned != null) {
            planned.readSoon();
        }
    }

    private void reportSoon(boolean urgent) {
        ReportSchedule planned = schedule;
        if (planned != null) {
            planned.reportSoon(urgent);
        }
    }

    private void dropExpired() {
        long now = timers.now();
        ledger.dropExpired(now);
        suspects.keySet().removeIf(request -> {
            boolean expired = !ledger.isSuspect(request, now);
            if (expired) {
                logger.atInfo().log("event=suspicion-expired fingerprint=%s", request);
            }
            return expired;
        });
        ReportSchedule planned = schedule;
        if (planned != null) {
            planned.reportIfOutdated();
        }
    }

    /**
     * Asks the other entries, through the store, whether a suspect may have a probe. Each entry writes its claim and then counts
     * the claims of all: the claims that are written first count no more than are allowed, whatever their order.
     */
    private final class ProbeRequest {
        private final Exchange exchange;
        private final String request;
        private final Suspect suspect;
        private final Runnable run;
        private final Runnable refuse;

        ProbeRequest(Exchange exchange, Suspect suspect, Runnable run, Runnable refuse) {
            this.exchange = exchange;
            this.request = exchange.fingerprint();
            this.suspect = suspect;
            this.run = run;
            this.refuse = refuse;
        }

        void start() {
            CrashReports shared = reports;
            if (shared == null) {
                decide(true, () -> {
                    claim();
                    runAsProbe();
                });
                return;
            }
            suspect.startReading();
            shared.read(read -> {
                decide(read, () -> {
                    claim();
                    shared.write(written -> decideClaim(shared, written));
                });
                suspect.stopReading();
            });
        }

        private void decide(boolean reportsKnown, Runnable claim) {
            long now = timers.now();
            if (!suspect.hasUsableClaim(now)) {
                withdrawClaim();
            }
            if (exchange.ended()) {
                suspect.stopAsking();
            } else if (!reportsKnown) {
                refuseFor(TimeUnit.MILLISECONDS.toNanos(STORE_RETRY_MILLIS));
            } else if (!ledger.isSuspect(request, now)) {
                suspects.remove(request);
                logger.atInfo().log("event=request-cleared fingerprint=%s by=others", request);
                run.run();
            } else if (suspect.isUsedUp(ledger.sentProbes(request, now), now)) {
                refuseNow();
            } else if (suspect.waitsForOthers(ledger.probes(request, now))) {
                refuseFor(ProbeAllowance.INTERVAL_NANOS);
                // The probe of another entry may end well.
                readSoon();
            } else {
                claim.run();
            }
        }

        private void claim() {
            long now = timers.now();
            if (!suspect.hasUsableClaim(now)) {
                ledger.recordProbe(request, suspect.claim(now), now);
            }
        }

        private void decideClaim(CrashReports shared, boolean written) {
            if (!written) {
                refuseFor(TimeUnit.MILLISECONDS.toNanos(STORE_RETRY_MILLIS));
                return;
            }
            shared.read(read -> {
                if (read && suspect.covers(ledger.probes(request, timers.now())) && !exchange.ended()) {
                    runAsProbe();
                } else {
                    withdrawClaim();
                    refuseFor(ProbeAllowance.INTERVAL_NANOS);
                }
            });
        }

        private void withdrawClaim() {
            String probe = suspect.withdrawClaim();
            if (probe != null) {
                ledger.withdrawProbe(request, probe);
                reportSoon(false);
            }
        }

        private void runAsProbe() {
            suspect.allow(exchange);
            logger.atInfo().log(
                    "event=request-probed request=%s %s", exchange.facts().id(), describe(exchange));
            run.run();
        }

        private void refuseFor(long nanos) {
            suspect.postpone(nanos, timers.now());
            refuseNow();
        }

        private void refuseNow() {
            suspect.stopAsking();
            refuse.run();
        }
    }
}
