package org.quetzalseam.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import org.quetzalseam.core.crash.CrashReport.Fact;

/**
 * Facts of one sort that one entry reported, by request, with the time at which this process learnt of each. Bounded: when it is
 * full, the request that has gone longest without a new fact is forgotten. Not thread-safe. Times are monotonic nanoseconds; a
 * fact expires when its age exceeds the time for which its request's facts count.
 */
final class FactTable {
    /** Maximum number of facts. */
    static final int MAX_FACTS = 256;

    /** The requests, least recently added to first. */
    private final Map<String, Map<String, Long>> learntAt = new LinkedHashMap<>();

    private int size;

    /** Adds a fact, unless it is known. Returns whether it is new. */
    boolean add(Fact fact, long now) {
        Map<String, Long> known = learntAt.remove(fact.request());
        Map<String, Long> subjects = known == null ? new LinkedHashMap<>() : known;
        learntAt.put(fact.request(), subjects);
        boolean added = subjects.putIfAbsent(fact.subject(), now) == null;
        if (added) {
            size++;
            forgetOldest();
        }
        return added;
    }

    private void forgetOldest() {
        while (size > MAX_FACTS && learntAt.size() > 1) {
            String oldest = learntAt.keySet().iterator().next();
            Map<String, Long> forgotten = learntAt.remove(oldest);
            size -= forgotten == null ? 0 : forgotten.size();
        }
    }

    /**
     * Replaces all facts by a newer report. A fact that stays keeps its time, so that a report does not renew what has expired.
     * Returns whether any fact is new.
     */
    boolean replace(List<Fact> reported, long now) {
        Map<String, Map<String, Long>> before = new HashMap<>(learntAt);
        learntAt.clear();
        size = 0;
        boolean added = false;
        for (Fact fact : reported) {
            Long at = before.getOrDefault(fact.request(), Map.of()).get(fact.subject());
            added |= at == null;
            add(fact, at == null ? now : at);
        }
        return added;
    }

    /** Adds what a request's facts name, without the expired ones. */
    void addSubjects(String request, long keepNanos, long now, Set<String> found) {
        learntAt.getOrDefault(request, Map.of()).forEach((subject, at) -> {
            if (now - at <= keepNanos) {
                found.add(subject);
            }
        });
    }

    /** Removes a fact, if it is known. */
    void remove(Fact fact) {
        Map<String, Long> subjects = learntAt.get(fact.request());
        if (subjects != null && subjects.remove(fact.subject()) != null) {
            size--;
            learntAt.values().removeIf(Map::isEmpty);
        }
    }

    /** Returns the times at which this process learnt of a request's facts, expired or not. */
    LongStream times(String request) {
        return learntAt.getOrDefault(request, Map.of()).values().stream().mapToLong(Long::longValue);
    }

    /** Adds the requests that have facts, expired or not. */
    void addRequests(Set<String> found) {
        found.addAll(learntAt.keySet());
    }

    /** Drops what has expired, and returns the rest, oldest request first. */
    List<Fact> dropExpired(ToLongFunction<String> keepNanos, long now) {
        learntAt.forEach((request, subjects) -> {
            long keep = keepNanos.applyAsLong(request);
            subjects.values().removeIf(at -> now - at > keep);
        });
        learntAt.values().removeIf(Map::isEmpty);
        List<Fact> facts = new ArrayList<>();
        learntAt.forEach(
                (request, subjects) -> subjects.keySet().forEach(subject -> facts.add(new Fact(request, subject))));
        size = facts.size();
        return facts;
    }
}
