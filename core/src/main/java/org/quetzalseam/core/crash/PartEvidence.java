package org.quetzalseam.core.crash;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.quetzalseam.core.crash.CrashReport.Fact;

/** What speaks against one part of prompts: the crashes that nothing dismisses. Not thread-safe. */
final class PartEvidence {
    /** The prompts that held the part, by the crash in which they were lost. */
    private final Map<String, List<List<String>>> prompts = new TreeMap<>();

    private final Set<String> requests = new HashSet<>();
    private final Set<String> reporters = new TreeSet<>();
    private int sumOfPlaces;
    private boolean any;
    private long latestAt;

    /**
     * Adds a request that was lost with the part.
     *
     * @param place number of parts before this one in the prompt
     * @param learntAt when this process learnt of it, in monotonic nanoseconds
     */
    void add(Fact lost, int place, String reporter, long learntAt) {
        prompts.computeIfAbsent(lost.subject(), added -> new ArrayList<>()).add(lost.parts());
        reporters.add(reporter);
        if (requests.add(lost.request())) {
            sumOfPlaces += place;
        }
        latestAt = any ? latestAt + Math.max(0, learntAt - latestAt) : learntAt;
        any = true;
    }

    /** Returns the incarnations that crashed. */
    Set<String> crashes() {
        return prompts.keySet();
    }

    /** Returns the names of the entries that saw the crashes. */
    Set<String> reporters() {
        return reporters;
    }

    /** Returns the number of different requests that were lost. */
    int requests() {
        return requests.size();
    }

    /** Returns how many parts were before this one in the prompts, at the mean: those further back are shared by fewer. */
    double meanPlace() {
        return sumOfPlaces / (double) requests.size();
    }

    /** Returns when this process learnt of the latest crash. */
    long latestAt() {
        return latestAt;
    }

    /** Returns the number of crashes that are not among those explained. */
    int unexplained(Set<String> explained) {
        return count(crash -> !explained.contains(crash));
    }

    /** Returns the number of crashes in which no prompt with this part was lost that also held one of others. */
    int unexplainedByPrompts(Set<String> others) {
        return count(crash -> prompts.getOrDefault(crash, List.of()).stream()
                .noneMatch(held -> held.stream().anyMatch(others::contains)));
    }

    private int count(Predicate<String> wanted) {
        return (int) prompts.keySet().stream().filter(wanted).count();
    }
}
