package org.quetzalseam.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Chooses an endpoint for an attempt. Implementations are thread-safe if the random generator given to them is.
 *
 * <p>Example: {@code Placement.leastBacklog().choose(candidates, "prefix", "freising")}.
 */
@FunctionalInterface
public interface Placement {
    /**
     * Returns the index of the chosen endpoint in {@code candidates}.
     *
     * @param candidates the endpoints to choose from, not empty
     * @param affinity hash of the prompt's prefix, or of whatever should be sent to the same endpoint again
     * @param zone the availability zone of this process
     */
    int choose(List<Candidate> candidates, long affinity, String zone);

    /** Returns the round-robin placement, the baseline for measurements of the others. */
    static Placement roundRobin() {
        AtomicInteger counter = new AtomicInteger();
        return (candidates, affinity, zone) -> Math.floorMod(counter.getAndIncrement(), candidates.size());
    }

    /** Returns a placement that prefers the least backlog, then the most free slots, then the zone of this process. */
    static Placement leastBacklog() {
        return (candidates, affinity, zone) -> best(candidates, order(zone));
    }

    /** Returns a placement that chooses the better of two random endpoints, by the order of {@link #leastBacklog}. */
    static Placement twoChoices(RandomGenerator random) {
        return (candidates, affinity, zone) -> {
            int first = random.nextInt(candidates.size());
            int second = random.nextInt(candidates.size());
            boolean better = order(zone).compare(candidates.get(first), candidates.get(second)) <= 0;
            return better ? first : second;
        };
    }

    /**
     * Returns a placement that prefers the endpoint to which rendezvous hashing assigns the prompt's prefix, as long as
     * the backlog of that endpoint exceeds the least backlog by no more than {@code slack}.
     */
    static Placement prefixAffinity(long slack) {
        Placement least = leastBacklog();
        return (candidates, affinity, zone) -> {
            List<String> ids = candidates.stream().map(Candidate::id).toList();
            int preferred = Rendezvous.top(ids, affinity);
            int leastLoaded = least.choose(candidates, affinity, zone);
            long excess = candidates.get(preferred).backlog()
                    - candidates.get(leastLoaded).backlog();
            return excess <= slack ? preferred : leastLoaded;
        };
    }

    private static Comparator<Candidate> order(String zone) {
        return Comparator.comparingLong(Candidate::backlog)
                .thenComparing(Comparator.comparingInt(Candidate::free).reversed())
                .thenComparing(candidate -> !candidate.zone().equals(zone))
                .thenComparing(Candidate::id);
    }

    private static int best(List<Candidate> candidates, Comparator<Candidate> order) {
        int best = 0;
        for (int i = 1; i < candidates.size(); i++) {
            if (order.compare(candidates.get(i), candidates.get(best)) < 0) {
                best = i;
            }
        }
        return best;
    }
}
