package org.quetzalseam.core.crash;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.quetzalseam.core.crash.CrashReport.Fact;

/**
 * Counts for each request the endpoints that crashed while they ran it, from the reports of all entries. Not thread-safe.
 * Times are monotonic nanoseconds of this process.
 *
 * <p>A crash also loses requests that did not cause it. Those end at another endpoint sooner or later, which dismisses all
 * crashes known until then and shortly after; the request that causes the crashes never ends. A request with
 * {@link #SUSPECT_CRASHES} crashes that nothing dismisses is a suspect.
 */
public final class CrashLedger {
    /** Number of crashes from which on a request is taken for their cause. */
    public static final int SUSPECT_CRASHES = 3;

    /** Maximum number of facts of each sort that are kept of one entry; the oldest go first. */
    static final int MAX_FACTS = 256;

    /** Maximum number of requests that are remembered because they ended recently. */
    private static final int MAX_RECENT_ENDS = 1_024;
    /**
     * How long the end of a request also dismisses crashes that are learnt of later, in nanoseconds: several times as long as
     * entries take to report a crash.
     */
    static final long RECENT_END_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final String self;
    private final long keepNanos;
    private final Map<String, Long> recentEnds = new LinkedHashMap<>();
    private final Map<String, Reporter> reporters = new HashMap<>();
    /** The requests that were suspects when the ledger last changed; some of their crashes may no longer count. */
    private Set<String> suspects = Set.of();

    /**
     * Creates an empty ledger.
     *
     * @param self name of the entry that this ledger belongs to
     * @param keepNanos how long a fact counts after this process has learnt of it
     */
    public CrashLedger(String self, long keepNanos) {
        this.self = self;
        this.keepNanos = keepNanos;
        reporters.put(self, new Reporter());
    }

    /** Records that a request was lost when an incarnation of an endpoint crashed. */
    public void recordLost(String request, String incarnation, long now) {
        own().lost.add(new Fact(request, incarnation), now);
        findSuspects(now);
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
        Set<String> dismissed = dismiss(request, now);
        if (!dismissed.isEmpty()) {
            findSuspects(now);
        }
        return dismissed.size();
    }

    private Set<String> dismiss(String request, long now) {
        Set<String> dismissed = crashes(request, now);
        dismissed.forEach(incarnation -> own().ended.add(new Fact(request, incarnation), now));
        return dismissed;
    }

    private boolean endedRecently(String request, long now) {
        Long endedAt = recentEnds.get(request);
        return endedAt != null && now - endedAt <= RECENT_END_NANOS;
    }

    /** Records that this entry claims a probe of a request. */
    public void recordProbe(String request, String probe, long now) {
        own().probes.add(new Fact(request, probe), now);
    }

    /** Replaces what is known of other entries by their newest reports, by the names of the entries. */
    public void learn(Map<String, CrashReport> reports, long now) {
        reports.forEach((reporter, report) -> {
            Reporter known = reporters.computeIfAbsent(reporter, name -> new Reporter());
            known.lost.replace(report.lost(), now);
            known.ended.replace(report.ended(), now);
            known.probes.replace(report.probes(), now);
        });
        findSuspects(now);
    }

    /** Adds what an earlier process of this entry reported. */
    public void inherit(CrashReport report, long now) {
        report.lost().forEach(fact -> own().lost.add(fact, now));
        report.ended().forEach(fact -> own().ended.add(fact, now));
        report.probes().forEach(fact -> own().probes.add(fact, now));
        findSuspects(now);
    }

    /** Returns the report of this entry, without what has expired. */
    public CrashReport ownReport(long now) {
        Reporter own = own();
        return new CrashReport(own.lost.dropExpired(now), own.ended.dropExpired(now), own.probes.dropExpired(now));
    }

    /** Returns the incarnations that crashed while they ran a request, without those dismissed. */
    public Set<String> crashes(String request, long now) {
        Set<String> found = subjects(request, reporter -> reporter.lost, now);
        found.removeAll(subjects(request, reporter -> reporter.ended, now));
        return found;
    }

    /** Returns whether a request is taken for the cause of crashes. */
    public boolean isSuspect(String request, long now) {
        return suspects.contains(request) && crashes(request, now).size() >= SUSPECT_CRASHES;
    }

    /** Returns whether there may be a suspect; if not, no request needs to be looked up. */
    public boolean mayHaveSuspects() {
        return !suspects.isEmpty();
    }

    private void findSuspects(long now) {
        Map<String, Set<String>> open = new HashMap<>();
        reporters
                .values()
                .forEach(reporter -> reporter.lost.forEachCurrent(
                        now,
                        fact -> open.computeIfAbsent(fact.request(), request -> new HashSet<>())
                                .add(fact.subject())));
        reporters
                .values()
                .forEach(reporter -> reporter.ended.forEachCurrent(
                        now,
                        fact -> open.getOrDefault(fact.request(), new HashSet<>())
                                .remove(fact.subject())));
        Set<String> found = new HashSet<>();
        open.forEach((request, crashes) -> {
            if (endedRecently(request, now)) {
                dismiss(request, now);
            } else if (crashes.size() >= SUSPECT_CRASHES) {
                found.add(request);
            }
        });
        suspects = found;
    }

    /** Returns the number of probes of a request that all entries have claimed. */
    public int probes(String request, long now) {
        return subjects(request, reporter -> reporter.probes, now).size();
    }

    /** Returns the names of the entries that reported crashes of a request. */
    public Set<String> reporters(String request, long now) {
        Set<String> names = new TreeSet<>();
        reporters.forEach((name, reporter) -> {
            Set<String> incarnations = new TreeSet<>();
            reporter.lost.addSubjects(request, now, incarnations);
            if (!incarnations.isEmpty()) {
                names.add(name);
            }
        });
        return names;
    }

    /** Returns whether no crash is known, so that the end of a request dismisses nothing. */
    public boolean isEmpty(long now) {
        return reporters.values().stream().allMatch(reporter -> reporter.lost.isEmpty(now));
    }

    private Reporter own() {
        return reporters.computeIfAbsent(self, name -> new Reporter());
    }

    private Set<String> subjects(String request, Function<Reporter, Facts> sort, long now) {
        Set<String> found = new TreeSet<>();
        reporters.values().forEach(reporter -> sort.apply(reporter).addSubjects(request, now, found));
        return found;
    }

    private final class Reporter {
        private final Facts lost = new Facts();
        private final Facts ended = new Facts();
        private final Facts probes = new Facts();
    }

    /** Facts of one sort with the time at which this process learnt of each, oldest first. */
    private final class Facts {
        private final Map<Fact, Long> learntAt = new LinkedHashMap<>();

        void add(Fact fact, long now) {
            learntAt.putIfAbsent(fact, now);
            if (learntAt.size() > MAX_FACTS) {
                learntAt.remove(learntAt.keySet().iterator().next());
            }
        }

        /** Replaces these facts. One that stays keeps its time, so that a report does not renew what has expired. */
        void replace(List<Fact> reported, long now) {
            learntAt.keySet().retainAll(Set.copyOf(reported));
            reported.forEach(fact -> add(fact, now));
        }

        List<Fact> dropExpired(long now) {
            learntAt.values().removeIf(at -> expired(at, now));
            return List.copyOf(learntAt.keySet());
        }

        void addSubjects(String request, long now, Set<String> found) {
            forEachCurrent(now, fact -> {
                if (fact.request().equals(request)) {
                    found.add(fact.subject());
                }
            });
        }

        void forEachCurrent(long now, Consumer<Fact> action) {
            learntAt.forEach((fact, at) -> {
                if (!expired(at, now)) {
                    action.accept(fact);
                }
            });
        }

        boolean isEmpty(long now) {
            return learntAt.values().stream().allMatch(at -> expired(at, now));
        }

        private boolean expired(long at, long now) {
            return now - at > keepNanos;
        }
    }
}
