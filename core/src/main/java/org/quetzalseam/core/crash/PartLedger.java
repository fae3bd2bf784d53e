package org.quetzalseam.core.crash;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.quetzalseam.core.crash.CrashReport.Fact;

/**
 * Finds the parts of prompts that crash the endpoints that answer on them, whatever else the requests hold. Not thread-safe.
 * Times are monotonic nanoseconds of this process.
 *
 * <p>A crash counts for each part of each request that was lost in it, so innocent parts gather crashes too, above all those that
 * many requests share. A run that ends dismisses, for each of its parts, the crashes known until then and shortly after. A part
 * with {@link #SUSPECT_CRASHES} crashes that nothing dismisses is a suspect unless others explain them:
 *
 * <ul>
 *   <li>a part that no run has ended with, unless the prompts lost with it also held a suspect;
 *   <li>a part that runs have ended with, which needs {@link #ENDED_SUSPECT_CRASHES} at which no other suspect was at hand.
 * </ul>
 *
 * <p>Of several parts that explain the same crashes the one of the fewest requests is taken. A suspect stays one until a run with
 * it ends, or its crashes no longer count.
 */
public final class PartLedger {
    /** Number of crashes from which on a part may be taken for their cause. */
    public static final int SUSPECT_CRASHES = 5;
    /**
     * The same number for a part that runs have ended with, in nothing but the crashes that no other suspect explains: two parts
     * under it, each with too few crashes to be a suspect, must not make it one.
     */
    static final int ENDED_SUSPECT_CRASHES = 2 * SUSPECT_CRASHES;
    /** Number of different requests that must have been lost with a part: a single one may be the cause itself. */
    private static final int SUSPECT_REQUESTS = 2;
    /** Number of crashes of a part from which on the other entries are told that they are dismissed. */
    private static final int REPORTED_CRASHES = 2;
    /** Maximum number of parts that are remembered because a run with them ended. */
    private static final int MAX_ENDS = 4_096;
    /**
     * How long the end of a run also dismisses crashes that are learnt of later, in nanoseconds: longer than other entries take
     * to report a crash, and short because a part may begin to crash endpoints at any time.
     */
    static final long RECENT_END_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final String KEY_PREFIX = "part-";

    private final ReportedFacts own;
    private final Map<String, ReportedFacts> reporters;
    private final long keepNanos;
    private final long suspectKeepNanos;
    private final Map<String, Long> lastEnds = new LinkedHashMap<>();
    private Runnable onChange = () -> {};
    private Map<String, PartEvidence> evidence = Map.of();
    /** The suspects, each with the crashes that made it one. */
    private Map<String, Set<String>> suspects = Map.of();

    PartLedger(ReportedFacts own, Map<String, ReportedFacts> reporters, long keepNanos, long suspectKeepNanos) {
        this.own = own;
        this.reporters = reporters;
        this.keepNanos = keepNanos;
        this.suspectKeepNanos = suspectKeepNanos;
    }

    /** Returns the name under which the probes of a part are counted, which no request's fingerprint is equal to. */
    public static String key(String part) {
        return KEY_PREFIX + part;
    }

    /** Returns whether a name is one that {@link #key} returns. */
    public static boolean isKey(String name) {
        return name.startsWith(KEY_PREFIX);
    }

    /** Returns the part whose name {@link #key} returned. */
    public static String part(String key) {
        return key.substring(KEY_PREFIX.length());
    }

    /** Sets the callback that runs whenever facts have made other parts suspects than before. */
    public void onChange(Runnable call) {
        onChange = call;
    }

    /**
     * Records that a run ended whose prompt held these parts. Returns whether that dismissed crashes that other entries may still
     * count.
     */
    public boolean recordEnded(List<String> parts, long now) {
        parts.forEach(part -> rememberEnd(part, now));
        boolean dismissed = dismiss(parts, now);
        if (dismissed) {
            judge(now);
        }
        return dismissed;
    }

    private void rememberEnd(String part, long now) {
        lastEnds.remove(part);
        lastEnds.put(part, now);
        if (lastEnds.size() > MAX_ENDS) {
            lastEnds.remove(lastEnds.keySet().iterator().next());
        }
    }

    /** Dismisses the crashes of those parts with which a run ended recently. Returns whether there were any. */
    private boolean dismiss(Collection<String> parts, long now) {
        boolean any = false;
        for (String part : parts) {
            PartEvidence against = evidence.get(part);
            Long endedAt = lastEnds.get(part);
            if (against == null
                    || against.crashes().size() < REPORTED_CRASHES
                    || endedAt == null
                    || now - endedAt > RECENT_END_NANOS) {
                continue;
            }
            against.crashes().forEach(crash -> own.endedParts.add(new Fact(part, crash), now));
            any = true;
        }
        return any;
    }

    /** Judges all parts anew, because facts were added. */
    void judge(long now) {
        evidence = gather(now);
        if (dismiss(evidence.keySet(), now)) {
            evidence = gather(now);
        }
        Set<String> before = Set.copyOf(suspects.keySet());
        suspects = choose(now);
        if (!suspects.keySet().equals(before)) {
            onChange.run();
        }
    }

    /** Forgets the suspects whose crashes no longer count. */
    void dropExpired(long now) {
        evidence = gather(now);
        suspects = choose(now);
    }

    private Map<String, PartEvidence> gather(long now) {
        Map<String, PartEvidence> found = new HashMap<>();
        Map<String, Set<String>> dismissed = new HashMap<>();
        reporters.forEach((name, reporter) -> reporter.lost.forEachWithParts((lost, at) -> {
            List<String> parts = lost.parts();
            for (int place = 0; now - at <= keepNanos(parts) && place < parts.size(); place++) {
                String part = parts.get(place);
                if (!dismissed
                        .computeIfAbsent(part, asked -> dismissed(asked, now))
                        .contains(lost.subject())) {
                    found.computeIfAbsent(part, added -> new PartEvidence()).add(lost, place, name, at);
                }
            }
        }));
        return found;
    }

    /** Returns how long a crash counts in which a request with these parts was lost, in nanoseconds. */
    long keepNanos(List<String> parts) {
        return holdsSuspect(parts) ? suspectKeepNanos : keepNanos;
    }

    private Set<String> dismissed(String part, long now) {
        Set<String> found = new HashSet<>();
        reporters.values().forEach(reporter -> reporter.endedParts.addSubjects(part, suspectKeepNanos, now, found));
        return found;
    }

    private Map<String, Set<String>> choose(long now) {
        Map<String, PartEvidence> ended = new TreeMap<>();
        Map<String, PartEvidence> neverEnded = new TreeMap<>();
        Map<String, Set<String>> chosen = new LinkedHashMap<>();
        evidence.forEach((part, against) -> {
            if (against.crashes().size() < SUSPECT_CRASHES || against.requests() < SUSPECT_REQUESTS) {
                return;
            }
            if (suspects.containsKey(part)) {
                chosen.put(part, against.crashes());
            } else {
                (hasEnded(part, now) ? ended : neverEnded).put(part, against);
            }
        });
        choose(neverEnded, chosen, SUSPECT_CRASHES, against -> against.unexplainedByPrompts(chosen.keySet()));
        choose(ended, chosen, ENDED_SUSPECT_CRASHES, against -> against.unexplained(explained(chosen)));
        return chosen;
    }

    private static Set<String> explained(Map<String, Set<String>> chosen) {
        Set<String> crashes = new HashSet<>();
        chosen.values().forEach(crashes::addAll);
        return crashes;
    }

    /** Chooses those of the candidates that explain the most crashes, one after the other. */
    private static void choose(
            Map<String, PartEvidence> candidates,
            Map<String, Set<String>> chosen,
            int minCrashes,
            ToIntFunction<PartEvidence> unexplained) {
        Comparator<PartEvidence> likelier = Comparator.comparingInt(unexplained)
                .thenComparingInt(against -> -against.requests())
                .thenComparingDouble(PartEvidence::meanPlace);
        candidates.values().removeIf(against -> unexplained.applyAsInt(against) < minCrashes);
        while (!candidates.isEmpty()) {
            Map.Entry<String, PartEvidence> best = candidates.entrySet().stream()
                    .max(Map.Entry.comparingByValue(likelier))
                    .orElseThrow();
            chosen.put(best.getKey(), best.getValue().crashes());
            candidates.remove(best.getKey());
            candidates.values().removeIf(against -> unexplained.applyAsInt(against) < minCrashes);
        }
    }

    /** Returns whether a run with a part is known to have ended, so that other causes are likelier. */
    public boolean hasEnded(String part, long now) {
        return lastEnds.containsKey(part) || !dismissed(part, now).isEmpty();
    }

    /** Returns the incarnations that crashed while they ran requests with a part, without those dismissed. */
    public Set<String> crashes(String part) {
        PartEvidence against = evidence.get(part);
        return against == null ? Set.of() : against.crashes();
    }

    /** Returns the names of the entries that reported these crashes. */
    public Set<String> reporters(String part) {
        PartEvidence against = evidence.get(part);
        return against == null ? Set.of() : against.reporters();
    }

    /** Returns how long this process has known of the latest of these crashes, in nanoseconds; 0 if there is none. */
    public long latestCrashAgeNanos(String part, long now) {
        PartEvidence against = evidence.get(part);
        return against == null ? 0 : now - against.latestAt();
    }

    /** Returns the parts that are taken for the cause of crashes. */
    public Set<String> suspects() {
        return suspects.keySet();
    }

    /** Returns whether a prompt holds a part that is taken for the cause of crashes. */
    public boolean holdsSuspect(List<String> parts) {
        return !suspects.isEmpty() && parts.stream().anyMatch(suspects::containsKey);
    }

    /**
     * Returns the number of crashes of a lost request that are its own: no suspect was at hand at them, nor a part of other prompts that
     * was at hand at all of the request's crashes and that no run has ended with.
     */
    int unexplained(Set<String> crashes, List<String> heldParts, long now) {
        Set<String> left = new HashSet<>(crashes);
        suspects.values().forEach(left::removeAll);
        boolean excused = evidence.entrySet().stream()
                .filter(part -> !heldParts.contains(part.getKey()))
                .filter(part -> part.getValue().crashes().containsAll(crashes))
                .anyMatch(part -> !hasEnded(part.getKey(), now));
        return excused ? 0 : left.size();
    }
}
