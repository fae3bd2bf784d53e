package org.quetzalseam.gateway.crash;

import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.ProbeAllowance;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Asks the other entries, through the store, whether a suspect may have a probe. Each entry writes its claim and then counts
 * the claims of all: the claims that are written first count no more than are allowed, whatever their order. Used on the event loop
 * only.
 */
final class ProbeRequest {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Time after which the store is asked again when it did not answer, in nanoseconds. */
    private static final long STORE_RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(CrashGuard.STORE_RETRY_MILLIS);

    private final CrashGuard guard;
    private final Timers timers;
    private final CrashLedger ledger;
    private final Suspects suspects;
    private final Exchange exchange;
    private final String key;
    private final Suspect suspect;
    private final Runnable run;
    private final Runnable refuse;

    ProbeRequest(CrashGuard guard, Exchange exchange, String key, Suspect suspect, Runnable run, Runnable refuse) {
        this.guard = guard;
        this.timers = guard.timers();
        this.ledger = guard.ledger();
        this.suspects = guard.suspected();
        this.exchange = exchange;
        this.key = key;
        this.suspect = suspect;
        this.run = run;
        this.refuse = refuse;
    }

    void start() {
        CrashReports shared = guard.reports();
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
        } else if (guard.stopping()) {
            withdrawClaim();
            refuseNow();
        } else if (!reportsKnown) {
            refuseFor(STORE_RETRY_NANOS);
        } else if (!suspects.isSuspect(key)) {
            if (suspects.clear(key)) {
                logger.atInfo().log("event=request-cleared by=others %s", suspects.describe(key));
            }
            run.run();
        } else if (suspect.isUsedUp(ledger.sentProbes(key, now), now)) {
            refuseNow();
        } else if (suspect.waitsForOthers(ledger.probes(key, now))) {
            refuseFor(ProbeAllowance.INTERVAL_NANOS);
            // The probe of another entry may end well.
            guard.readSoon();
        } else {
            claim.run();
        }
    }

    private void claim() {
        long now = timers.now();
        if (!suspect.hasUsableClaim(now)) {
            ledger.recordProbe(key, suspect.claim(now), now);
        }
    }

    private void decideClaim(CrashReports shared, boolean written) {
        if (guard.stopping()) {
            withdrawClaim();
            refuseNow();
            return;
        }
        if (!written) {
            refuseFor(STORE_RETRY_NANOS);
            return;
        }
        shared.read(read -> {
            if (read && suspect.covers(ledger.probes(key, timers.now())) && !exchange.ended()) {
                runAsProbe();
            } else {
                withdrawClaim();
                refuseFor(ProbeAllowance.INTERVAL_NANOS);
            }
        });
    }

    private void withdrawClaim() {
        guard.withdrawClaim(key, suspect);
    }

    private void runAsProbe() {
        suspect.allow(exchange);
        logger.atInfo().log(
                "event=request-probed request=%s %s", exchange.facts().id(), suspects.describe(key));
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
