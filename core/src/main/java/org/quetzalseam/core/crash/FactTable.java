package org.quetzalseam.core.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ObjLongConsumer;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.LongStream;
import org.quetzalseam.core.crash.CrashReport.Fact;

/**
 * Facts of one sort that one entry reported, by request, with the time at which this process learnt of each. Bounded: when it is
 * full, the request that has gone longest without a new fact is forgotten, one that is to be kept longest last. Not thread-safe. Times are monotonic nanoseconds; a
 * fact expires when its age exceeds the time for which its request's facts count.
 */
final class FactTable {
    /** Maximum number of facts. */
    static final int MAX_FACTS = 256;

    /** The requests, least recently added to first. */
    private final Map<String, Known> known = new LinkedHashMap<>();

    private final Predicate<List<String>> keptLongest;
    private int size;

    /** What is known of a request. */
    private static final class Known {
        private final List<String> parts;
        private final Map<String, Learnt> subjects = new LinkedHashMap<>();

        Known(List<String> parts) {
            this.parts = parts;
        }
    }

    /** Since when a fact is known, and whether the entry that reported it has told it directly. */
    private record Learnt(long at, boolean told) {}

    FactTable() {
        this(parts -> false);
    }

    /** Creates a table that forgets requests with certain parts only when there are no others. */
    FactTable(Predicate<List<String>> keptLongest) {
        this.keptLongest = keptLongest;
    }

    /** Adds a fact, unless it is known. Returns whether it is new. */
    boolean add(Fact fact, long now) {
        return add(fact, new Learnt(now, false));
    }

    /** Adds a fact that the reporting entry has told directly, so that its next report need not have it yet. */
    boolean addTold(Fact fact, long now) {
        return add(fact, new Learnt(now, true));
    }

    private boolean add(Fact fact, Learnt learnt) {
        Known before = known.remove(fact.request());
        Known request = before == null ? new Known(fact.parts()) : before;
        known.put(fact.request(), request);
        boolean added = request.subjects.putIfAbsent(fact.subject(), learnt) == null;
        if (added) {
            size++;
            forgetOldest();
        }
        return added;
    }

    private void forgetOldest() {
        while (size > MAX_FACTS && known.size() > 1) {
            Optional<String> unprotected = known.entrySet().stream()
                    .filter(request -> !keptLongest.test(request.getValue().parts))
                    .map(Map.Entry::getKey)
                    .findFirst();
            Known forgotten = known.remove(
                    unprotected.orElseGet(() -> known.keySet().iterator().next()));
            size -= forgotten == null ? 0 : forgotten.subjects.size();
        }
    }

    /**
     * Replaces all facts by a newer report, but for those that were told directly. A fact that stays keeps its time, so that a
     * report does not renew what has expired. Returns whether any fact is new.
     */
    boolean replace(List<Fact> reported, long now) {
        Map<String, Known> before = new HashMap<>(known);
        List<Fact> told = new ArrayList<>();
        Map<Fact, Learnt> toldAt = new HashMap<>();
        forEachLearnt((fact, learnt) -> {
            if (learnt.told()) {
                told.add(fact);
                toldAt.put(fact, learnt);
            }
        });
        known.clear();
        size = 0;
        told.forEach(fact -> add(fact, toldAt.getOrDefault(fact, new Learnt(now, true))));
        boolean added = false;
        for (Fact fact : reported) {
            Known request = before.get(fact.request());
            Learnt learnt = request == null ? null : request.subjects.get(fact.subject());
            added |= learnt == null;
            add(fact, learnt == null ? new Learnt(now, false) : learnt);
        }
        return added;
    }

    private interface LearntConsumer {
        void accept(Fact fact, Learnt learnt);
    }

    private void forEachLearnt(LearntConsumer consumer) {
        known.forEach((request, facts) -> facts.subjects.forEach(
                (subject, learnt) -> consumer.accept(new Fact(request, subject, facts.parts), learnt)));
    }

    /** Passes on each fact of requests whose parts are known, expired or not, with the time at which it was learnt. */
    void forEachWithParts(ObjLongConsumer<Fact> consumer) {
        known.forEach((request, facts) -> {
            if (!facts.parts.isEmpty()) {
                facts.subjects.forEach(
                        (subject, learnt) -> consumer.accept(new Fact(request, subject, facts.parts), learnt.at()));
            }
        });
    }

    /** Returns the parts of a request's prompt, none if they or the request are not known. */
    List<String> parts(String request) {
        Known facts = known.get(request);
        return facts == null ? List.of() : facts.parts;
    }

    /** Adds what a request's facts name, without the expired ones. */
    void addSubjects(String request, long keepNanos, long now, Set<String> found) {
        Known facts = known.get(request);
        if (facts != null) {
            facts.subjects.forEach((subject, learnt) -> {
                if (now - learnt.at() <= keepNanos) {
                    found.add(subject);
                }
            });
        }
    }

    /** Removes a fact, if it is known. */
    void remove(Fact fact) {
        Known request = known.get(fact.request());
        if (request != null && request.subjects.remove(fact.subject()) != null) {
            size--;
            dropEmpty();
        }
    }

    private void dropEmpty() {
        known.values().removeIf(request -> request.subjects.isEmpty());
    }

    /** Returns the times at which this process learnt of a request's facts, expired or not. */
    LongStream times(String request) {
        Known facts = known.get(request);
        return facts == null
                ? LongStream.empty()
                : facts.subjects.values().stream().mapToLong(Learnt::at);
    }

    /** Adds the requests that have facts, expired or not. */
    void addRequests(Set<String> found) {
        found.addAll(known.keySet());
    }

    /** Drops what has expired, and returns the rest, oldest request first. */
    List<Fact> dropExpired(ToLongFunction<Fact> keepNanos, long now) {
        known.forEach((request, facts) -> facts.subjects
                .entrySet()
                .removeIf(subject -> now - subject.getValue().at()
                        > keepNanos.applyAsLong(new Fact(request, subject.getKey(), facts.parts))));
        dropEmpty();
        List<Fact> left = new ArrayList<>();
        forEachLearnt((fact, learnt) -> left.add(fact));
        size = left.size();
        return left;
    }
}
