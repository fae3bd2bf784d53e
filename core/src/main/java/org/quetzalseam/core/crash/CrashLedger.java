package org.quetzalseam.core.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.quetzalseam.core.crash.CrashReport.Fact;

/**
 * Counts for each request the endpoints that crashed while they ran it, from the reports of all entries. Not thread-safe.
 * Times are monotonic nanoseconds of this process.
 *
 * <p>A crash also loses requests that did not cause it. Those end at another endpoint sooner or later, which dismisses all
 * crashes known until then and shortly after; the request that causes the crashes never ends. A request with
 * {@link #SUSPECT_CRASHES} crashes that nothing dismisses is a suspect, unless others with more crashes explain all of its own,
 * or parts of other prompts explain these.
 * The crashes of a suspect count longer than others, because its caller may send it again at long intervals.
 */
public final class CrashLedger {
    /** Number of crashes from which on a request is taken for their cause. */
    public static final int SUSPECT_CRASHES = 3;

    /** Maximum number of requests that are remembered because they ended recently. */
    private static final int MAX_RECENT_ENDS = 1_024;
    /**
     * How long the end of a request also dismisses crashes that are learnt of later, in nanoseconds: several times as long as
     * entries take to report a crash.
     */
    static final long RECENT_END_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * How long a claim counts with which no probe is known to have been sent, in nanoseconds: longer than its entry may use it,
     * and then long enough for the report that it was used to get past a store that does not answer.
     */
    static final long UNSENT_CLAIM_NANOS = TimeUnit.SECONDS.toNanos(20);

    private final String self;
    private final long keepNanos;
    private final long suspectKeepNanos;
    private final Map<String, Long> recentEnds = new LinkedHashMap<>();
    private final Map<String, ReportedFacts> reporters = new HashMap<>();
    /** The requests that had enough crashes when the ledger last changed; some of these may no longer count. */
    private final Set<String> candidates = new HashSet<>();

    private final PartLedger parts;
    private boolean anyLost;
    private long lastLostAt;

    /**
     * Creates an empty ledger.
     *
     * @param self name of the entry that this ledger belongs to
     * @param keepNanos how long a crash or a probe counts after this process has learnt of it
     * @param suspectKeepNanos how long a crash counts if its request has enough of them to be a suspect, and an end always
     */
    public CrashLedger(String self, long keepNanos, long suspectKeepNanos) {
        this.self = self;
        this.keepNanos = keepNanos;
        this.suspectKeepNanos = suspectKeepNanos;
        this.parts = new PartLedger(own(), reporters, keepNanos, suspectKeepNanos);
    }

    /** Returns what is known of the parts of prompts. */
    public PartLedger parts() {
        return parts;
    }

    /** Records that a request was lost when an incarnation of an endpoint crashed. */
    public void recordLost(String request, String incarnation, long now) {
        recordLost(new Fact(request, incarnation), now);
    }

    /** Records that a request, whose parts may be known, was lost when an incarnation of an endpoint crashed. */
    public void recordLost(Fact lost, long now) {
        noteLost(own().lost.add(lost, now), now);
        if (!lost.parts().isEmpty()) {
            parts.judge(now);
        }
        judge(lost.request(), now);
    }

    private void noteLost(boolean added, long now) {
        if (added) {
            anyLost = true;
            lastLostAt = now;
        }
    }

    /**
     * Records that a request ended, so that it has not caused the crashes known so far. Returns the number of crashes that had
     * not been dismissed before.
     */
    public int recordEnded(String request, long now) {
        recentEnds.remove(request);
        recentEnds.put(request, now);
        if (recentEnds.size() > MAX_RECENT_ENDS) {
            recentEnds.remove(recentEnds.keySet().iterator().next());
        }
        int dismissed = crashes(request, now).size();
        judge(request, now);
        return dismissed;
    }

    /** Records that this entry claims a probe of a request. */
    public void recordProbe(String request, String probe, long now) {
        own().probes.add(new Fact(request, probe), now);
    }

    /** Records that this entry sends a probe that it has claimed, so that the claim counts as long as a probe does. */
    public void recordProbeSent(String request, String probe, long now) {
        own().sentProbes.add(new Fact(request, probe), now);
    }

    /** Withdraws a claim of this entry with which no probe was sent. */
    public void withdrawProbe(String request, String probe) {
        own().probes.remove(new Fact(request, probe));
    }

    /** Replaces what is known of other entries by their newest reports, by the names of the entries. */
    public void learn(Map<String, CrashReport> reports, long now) {
        reports.forEach((reporter, report) -> {
            ReportedFacts known = reporter(reporter);
            noteLost(known.lost.replace(report.lost(), now), now);
            known.ended.replace(report.ended(), now);
            known.probes.replace(report.probes(), now);
            known.sentProbes.replace(report.sentProbes(), now);
            known.endedParts.replace(report.endedParts(), now);
        });
        judgeAll(now);
    }

    /** Adds what another entry has told directly of lost requests and of ends; its next report may not have it yet. */
    public void hear(String reporter, CrashReport news, long now) {
        ReportedFacts known = reporter(reporter);
        news.lost().forEach(fact -> noteLost(known.lost.addTold(fact, now), now));
        news.ended().forEach(fact -> known.ended.addTold(fact, now));
        news.endedParts().forEach(fact -> known.endedParts.addTold(fact, now));
        judgeAll(now);
    }

    /** Adds what an earlier process of this entry reported. */
    public void inherit(CrashReport report, long now) {
        ReportedFacts own = own();
        report.lost().forEach(fact -> noteLost(own.lost.add(fact, now), now));
        report.ended().forEach(fact -> own.ended.add(fact, now));
        report.probes().forEach(fact -> own.probes.add(fact, now));
        report.sentProbes().forEach(fact -> own.sentProbes.add(fact, now));
        report.endedParts().forEach(fact -> own.endedParts.add(fact, now));
        judgeAll(now);
    }

    private void judgeAll(long now) {
        Set<String> requests = new HashSet<>(candidates);
        reporters.values().forEach(reporter -> reporter.lost.addRequests(requests));
        parts.judge(now);
        requests.forEach(request -> judge(request, now));
    }

    /** Decides whether a request has enough crashes to be a suspect; if it ended recently, dismisses its crashes. */
    private void judge(String request, long now) {
        Set<String> crashes = crashes(request, now);
        Long endedAt = recentEnds.get(request);
        if (endedAt != null && now - endedAt <= RECENT_END_NANOS) {
            crashes.forEach(incarnation -> own().ended.add(new Fact(request, incarnation), now));
            candidates.remove(request);
        } else if (crashes.size() >= SUSPECT_CRASHES) {
            candidates.add(request);
        } else {
            candidates.remove(request);
        }
    }

    /** Returns the report of this entry, without what has expired. */
    public CrashReport ownReport(long now) {
        ReportedFacts own = own();
        return new CrashReport(
                own.lost.dropExpired(this::lossKeepNanos, now),
                own.ended.dropExpired(fact -> suspectKeepNanos, now),
                own.probes.dropExpired(fact -> UNSENT_CLAIM_NANOS, now),
                own.sentProbes.dropExpired(fact -> keepNanos, now),
                own.endedParts.dropExpired(fact -> suspectKeepNanos, now));
    }

    private long lossKeepNanos(Fact lost) {
        return Math.max(crashKeepNanos(lost.request()), parts.keepNanos(lost.parts()));
    }

    private long crashKeepNanos(String request) {
        return candidates.contains(request) ? suspectKeepNanos : keepNanos;
    }

    /** Returns the incarnations that crashed while they ran a request, without those dismissed. */
    public Set<String> crashes(String request, long now) {
        Set<String> found = subjects(request, reporter -> reporter.lost, crashKeepNanos(request), now);
        found.removeAll(subjects(request, reporter -> reporter.ended, suspectKeepNanos, now));
        return found;
    }

    /** Returns whether a request is taken for the cause of crashes. */
    public boolean isSuspect(String request, long now) {
        if (!candidates.contains(request)) {
            return false;
        }
        Set<String> crashes = crashes(request, now);
        return crashes.size() >= SUSPECT_CRASHES
                && parts.unexplained(crashes, heldParts(request), now) >= SUSPECT_CRASHES
                && !explained(crashes, now);
    }

    private List<String> heldParts(String request) {
        return reporters.values().stream()
                .map(reporter -> reporter.lost.parts(request))
                .filter(held -> !held.isEmpty())
                .findFirst()
                .orElse(List.of());
    }

    /** Returns whether each of the crashes is also one of a request that has more crashes than there are. */
    private boolean explained(Set<String> crashes, long now) {
        dropExpired(now);
        Set<String> unexplained = new HashSet<>(crashes);
        for (String candidate : candidates) {
            Set<String> others = crashes(candidate, now);
            if (others.size() > crashes.size()) {
                unexplained.removeAll(others);
            }
        }
        return unexplained.isEmpty();
    }

    /** Returns the requests that are taken for the cause of crashes. */
    public Set<String> suspects(long now) {
        Set<String> suspects = new TreeSet<>(candidates);
        suspects.removeIf(request -> !isSuspect(request, now));
        return suspects;
    }

    /** Forgets the suspects whose crashes no longer count. */
    public void dropExpired(long now) {
        candidates.removeIf(candidate -> crashes(candidate, now).size() < SUSPECT_CRASHES);
    }

    /** Forgets the suspects, and the suspect parts, whose crashes no longer count. */
    public void dropAllExpired(long now) {
        dropExpired(now);
        parts.dropExpired(now);
    }

    /** Returns whether there may be a suspect; if not, no request needs to be looked up. */
    public boolean mayHaveSuspects() {
        return !candidates.isEmpty();
    }

    /** Returns the number of probes of a request that all entries have sent, or have claimed and may still send. */
    public int probes(String request, long now) {
        Set<String> probes = sentProbeIds(request, now);
        probes.addAll(subjects(request, reporter -> reporter.probes, UNSENT_CLAIM_NANOS, now));
        return probes.size();
    }

    /** Returns the number of probes of a request that all entries have sent. */
    public int sentProbes(String request, long now) {
        return sentProbeIds(request, now).size();
    }

    private Set<String> sentProbeIds(String request, long now) {
        return subjects(request, reporter -> reporter.sentProbes, keepNanos, now);
    }

    /** Returns how long this process has known of the latest crash of a request, in nanoseconds; 0 if it knows of none. */
    public long latestCrashAgeNanos(String request, long now) {
        return reporters.values().stream()
                .flatMapToLong(reporter -> reporter.lost.times(request))
                .map(at -> now - at)
                .min()
                .orElse(0);
    }

    /** Returns the names of the entries that reported crashes of a request. */
    public Set<String> reporters(String request, long now) {
        Set<String> names = new TreeSet<>();
        reporters.forEach((name, reporter) -> {
            Set<String> incarnations = new HashSet<>();
            reporter.lost.addSubjects(request, crashKeepNanos(request), now, incarnations);
            if (!incarnations.isEmpty()) {
                names.add(name);
            }
        });
        return names;
    }

    /** Returns whether no crash is known that still counts, so that the end of a request dismisses nothing. */
    public boolean isEmpty(long now) {
        return candidates.isEmpty() && (!anyLost || now - lastLostAt > keepNanos);
    }

    private ReportedFacts own() {
        return reporter(self);
    }

    private ReportedFacts reporter(String name) {
        return reporters.computeIfAbsent(name, added -> new ReportedFacts(this::holdsSuspectPart));
    }

    private boolean holdsSuspectPart(List<String> lostParts) {
        return parts.holdsSuspect(lostParts);
    }

    private Set<String> subjects(String request, Function<ReportedFacts, FactTable> sort, long countsNanos, long now) {
        Set<String> found = new TreeSet<>();
        reporters.values().forEach(reporter -> sort.apply(reporter).addSubjects(request, countsNanos, now, found));
        return found;
    }
}
