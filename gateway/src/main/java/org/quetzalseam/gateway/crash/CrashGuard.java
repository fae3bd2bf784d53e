package org.quetzalseam.gateway.crash;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.crash.CrashReport.Fact;
import org.quetzalseam.core.crash.ProbeAllowance;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.peer.CrashListener;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectStore;

/**
 * Quarantines requests, and requests with parts of prompts, that have crashed the endpoints that ran them, whichever entry sent
 * them there. Used on the event loop only.
 *
 * <p>While no crash is known, nothing is asked for. After a crash, each entry reports the requests that it lost, and all entries
 * read the reports a few times. A request that three crashes have in common, and that has ended nowhere since, is a suspect, and
 * so is a part that five have in common: requests with it are refused, except for a few probes that all entries share. A probe
 * that ends clears the suspect.
 */
public final class CrashGuard implements CrashListener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long a crash or a probe counts, in nanoseconds. */
    private static final long KEEP_NANOS = ProbeAllowance.PROBE_KEEP_NANOS;
    /** How long the crashes of a suspect count, in nanoseconds: its caller may still come back after the last probe. */
    private static final long SUSPECT_KEEP_NANOS = TimeUnit.HOURS.toNanos(1);
    /** Interval of the checks for crashes that no longer count, in milliseconds. */
    private static final long EXPIRY_CHECK_MILLIS = 60_000;
    /** Time after which the store is asked again when it did not answer, in milliseconds. */
    static final long STORE_RETRY_MILLIS = 1_000;
    /**
     * Time in which a probe whose connection is lost turns out to have crashed its endpoint, in milliseconds: an attempt to connect
     * to an endpoint that is down fails at once.
     */
    private static final long LOST_PROBE_MILLIS = 1_000;

    private final Timers timers;
    private final String self;
    private final CrashLedger ledger;
    private final Suspects suspects;
    private final CrashNews news;
    private @Nullable CrashReports reports;
    private @Nullable ReportSchedule schedule;
    private boolean loaded = true;
    private boolean stopping;

    /**
     * Creates a guard that knows of no crash.
     *
     * @param self name of this entry
     * @param peers the entries that are told of crashes directly
     */
    public CrashGuard(Timers timers, String self, Peers peers) {
        this.timers = timers;
        this.self = self;
        this.ledger = new CrashLedger(self, KEEP_NANOS, SUSPECT_KEEP_NANOS);
        this.suspects = new Suspects(timers, ledger);
        this.news = new CrashNews(timers, peers, self, ledger);
    }

    /**
     * Starts to share reports with the other entries through the store.
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
        suspects.reportsAge(shared::ageNanos);
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

    /** Claims no probes from now on, and withdraws the claims with which none is under way, because this entry stops. */
    public void startDraining() {
        stopping = true;
        suspects.forEachKnown((key, suspect) -> {
            if (!suspect.probeUnderWay()) {
                withdrawClaim(key, suspect);
            }
        });
    }

    boolean stopping() {
        return stopping;
    }

    /** Gives up the claim of a probe with which nothing has been sent. */
    void withdrawClaim(String key, Suspect suspect) {
        String probe = suspect.withdrawClaim();
        if (probe != null) {
            ledger.withdrawProbe(key, probe);
            reportSoon(true);
        }
    }

    Timers timers() {
        return timers;
    }

    CrashLedger ledger() {
        return ledger;
    }

    Suspects suspected() {
        return suspects;
    }

    @Nullable
    CrashReports reports() {
        return reports;
    }

    /** Returns whether the reports of earlier crashes have been read, or can't be read now. */
    public boolean loaded() {
        return loaded;
    }

    /** Returns the number of requests that are quarantined. */
    public int suspectRequests() {
        return suspects.requests();
    }

    /** Returns the number of parts of prompts that are quarantined. */
    public int suspectParts() {
        return ledger.parts().suspects().size();
    }

    /** Returns whether a request is quarantined for a part of its prompt. */
    public boolean suspectsPart(Exchange exchange) {
        return ledger.parts().holdsSuspect(exchange.facts().sharedParts());
    }

    /**
     * Decides whether a request may run.
     *
     * @param run called, at once or after the store was asked, if the request may run
     * @param refuse called otherwise
     */
    public void admit(Exchange exchange, Runnable run, Runnable refuse) {
        List<String> keys = suspects.keys(exchange);
        if (keys.isEmpty()) {
            run.run();
            return;
        }
        Suspect suspect = suspects.get(keys.get(0));
        if (suspect.waitForRead(() -> decideAfterRead(exchange, run, refuse))) {
            exchange.onShutdown(refuse);
            return;
        }
        // A request that is suspected for more than one reason shows nothing of any of them.
        if (stopping || keys.size() > 1 || suspects.otherPartIsLikelier(exchange) || !suspect.ask(timers.now())) {
            refuse.run();
            return;
        }
        exchange.onShutdown(refuse);
        new ProbeRequest(this, exchange, keys.get(0), suspect, run, refuse).start();
    }

    private void decideAfterRead(Exchange exchange, Runnable run, Runnable refuse) {
        if (exchange.ended()) {
            return;
        }
        if (suspects.keys(exchange).isEmpty()) {
            run.run();
        } else {
            refuse.run();
        }
    }

    /** Returns whether a request must not be sent to an endpoint now. */
    public boolean quarantines(Exchange exchange) {
        List<String> keys = suspects.keys(exchange);
        return !keys.isEmpty() && (keys.size() > 1 || !suspects.get(keys.get(0)).allows(exchange, timers.now()));
    }

    /** Records that a request was sent to an endpoint that will run it; a probe allows that once. */
    public void recordSent(Exchange exchange) {
        suspects.forEachKnown(exchange, (key, suspect) -> {
            String probe = suspect.recordSent(exchange, timers.now());
            if (probe != null) {
                ledger.recordProbeSent(key, probe, timers.now());
                reportSoon(true);
            }
        });
    }

    /** Records that a request has not reached an endpoint after all; a probe may go on to another one. */
    public void recordNotSent(Exchange exchange) {
        if (!exchange.ended()) {
            suspects.forEachKnown(exchange, (key, suspect) -> suspect.recordNotSent(exchange, timers.now()));
        }
    }

    /** Records that an endpoint has rejected a request without running it; a probe may go on to another one, once. */
    public void recordRejected(Exchange exchange) {
        suspects.forEachKnown(exchange, (key, suspect) -> suspect.recordRejected(exchange, timers.now()));
    }

    /** Returns after what time a request that is quarantined may be sent again, in milliseconds. */
    public long retryAfterMillis(Exchange exchange) {
        long now = timers.now();
        long nanos = suspects.keys(exchange).stream()
                .mapToLong(key -> suspects.get(key).waitNanos(now))
                .max()
                .orElse(0);
        return Math.max(TimeUnit.NANOSECONDS.toMillis(nanos), STORE_RETRY_MILLIS);
    }

    /** Returns the inputs of a decision on a request as {@code key=value} pairs for the log. */
    public String describe(Exchange exchange) {
        return suspects.describe(exchange);
    }

    /** Records that the connection was lost on which an endpoint may have run a request; it counts if the endpoint crashed. */
    public void recordLost(Exchange exchange, Endpoint endpoint) {
        String request = exchange.fingerprint();
        List<String> parts = exchange.facts().sharedParts();
        endpoint.ifCrashed(
                () -> crashed(new Fact(request, endpoint.member().incarnation().toString(), parts), endpoint));
        suspects.forEachKnown(exchange, (key, suspect) -> {
            if (suspect.isLatestProbe(exchange)) {
                int crashes = suspects.crashes(key).size();
                timers.after(LOST_PROBE_MILLIS, () -> probeLost(key, suspect, exchange, crashes));
            }
        });
    }

    /** Allows a probe to be repeated, unless its endpoint has crashed. */
    private void probeLost(String key, Suspect suspect, Exchange exchange, int crashesBefore) {
        boolean crashed = suspects.crashes(key).size() > crashesBefore;
        if (!crashed && suspect.repeatProbe(exchange, timers.now())) {
            logger.atInfo().log(
                    "event=probe-without-result request=%s %s", exchange.facts().id(), suspects.describe(key));
        }
    }

    private void crashed(Fact lost, Endpoint endpoint) {
        long now = timers.now();
        ledger.recordLost(lost, now);
        logger.atInfo().log(
                "event=crash-counted endpoint=%s parts=%s %s",
                endpoint.member().id(), String.join(",", lost.parts()), suspects.describe(lost.request()));
        if (ledger.isSuspect(lost.request(), now)) {
            suspects.get(lost.request());
        }
        reportSoon(true);
    }

    /**
     * Records that an endpoint has run a request to its end, so that the request has not caused the crashes known of it.
     *
     * @param succeeded whether the endpoint wrote what is known to be a whole answer of success; another answer shows nothing of the
     *     prompt's parts
     */
    public void recordEnded(Exchange exchange, boolean succeeded) {
        long now = timers.now();
        if (succeeded && ledger.parts().recordEnded(exchange.facts().sharedParts(), now)) {
            reportSoon(true);
        }
        if (ledger.isEmpty(now)) {
            return;
        }
        String request = exchange.fingerprint();
        int dismissed = ledger.recordEnded(request, now);
        if (dismissed > 0 && suspects.clear(request)) {
            logger.atInfo().log("event=request-cleared fingerprint=%s dismissed=%d", request, dismissed);
        }
        if (dismissed > 0) {
            // Entries that don't know of the end would count the dismissed crashes with the next ones.
            reportSoon(dismissed >= CrashLedger.SUSPECT_CRASHES);
        }
    }

    /** Takes in what another entry tells of crashes. */
    @Override
    public void heard(String reporter, CrashReport told) {
        ledger.hear(reporter, told, timers.now());
        news.tellSoon();
        ReportSchedule planned = schedule;
        if (planned != null) {
            planned.reportIfOutdated();
        }
    }

    /** Records that an endpoint has ended unplanned: other entries may report what it ran. */
    public void recordEndpointEnded() {
        readSoon();
    }

    /** Reads the reports of all entries a few times. */
    void readSoon() {
        ReportSchedule planned = schedule;
        if (planned != null) {
            planned.readSoon();
        }
    }

    /** Writes the report of this entry soon. */
    void reportSoon(boolean urgent) {
        news.tellSoon();
        ReportSchedule planned = schedule;
        if (planned != null) {
            planned.reportSoon(urgent);
        }
    }

    private void dropExpired() {
        suspects.dropExpired();
        ReportSchedule planned = schedule;
        if (planned != null) {
            planned.reportIfOutdated();
        }
    }
}
