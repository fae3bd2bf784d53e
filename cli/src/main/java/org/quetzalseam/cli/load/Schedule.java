package org.quetzalseam.cli.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.quetzalseam.cli.site.Traffic;

/**
 * Generates the arrivals of a run as an open loop, so that a late answer does not delay later requests. The same seed
 * gives the same arrivals. Stateless.
 */
public final class Schedule {
    private static final double NANOS_PER_SECOND = 1e9;

    private Schedule() {}

    /**
     * Returns the arrivals, sorted by time.
     *
     * @param traffic the kinds of requests
     * @param load factor applied to all rates
     * @param seconds duration of the run
     * @param seed seed of all random choices
     */
    public static List<PlannedRequest> draw(List<Traffic> traffic, double load, double seconds, long seed) {
        SplittableRandom seeds = new SplittableRandom(seed);
        List<PlannedRequest> arrivals = new ArrayList<>();
        for (Traffic kind : traffic) {
            drawKind(kind, load, seconds, seeds.split(), arrivals);
        }
        arrivals.sort(Comparator.comparingLong(PlannedRequest::atNanos));
        List<PlannedRequest> numbered = new ArrayList<>();
        for (PlannedRequest arrival : arrivals) {
            numbered.add(new PlannedRequest(
                    numbered.size(),
                    arrival.atNanos(),
                    arrival.traffic(),
                    arrival.owner(),
                    arrival.promptTokens(),
                    arrival.outputTokens()));
        }
        return List.copyOf(numbered);
    }

    private static void drawKind(
            Traffic kind, double load, double seconds, SplittableRandom random, List<PlannedRequest> arrivals) {
        double at = 0;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / (kind.ratePerSecond() * load);
            if (at >= seconds) {
                return;
            }
            arrivals.add(new PlannedRequest(
                    0,
                    (long) (at * NANOS_PER_SECOND),
                    kind,
                    owner(kind, random),
                    kind.promptTokens().draw(random),
                    kind.outputTokens().draw(random)));
        }
    }

    /** Returns a random owner; the first is drawn twice as often as each of the others. */
    private static String owner(Traffic kind, SplittableRandom random) {
        int share = random.nextInt(kind.owners().size() + 1);
        return kind.owners().get(Math.max(0, share - 1));
    }
}
