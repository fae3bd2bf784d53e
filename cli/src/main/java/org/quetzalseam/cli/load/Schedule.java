package org.quetzalseam.cli.load;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.quetzalseam.cli.site.Traffic;

/**
 * Draws the arrivals of a run: open loop, so that a late answer doesn't slow what comes after it. The same seed gives the
 * same arrivals. Stateless.
 */
public final class Schedule {
    private static final double NANOS_PER_SECOND = 1e9;

    private Schedule() {}

    /**
     * Returns the arrivals in their order.
     *
     * @param traffic the kinds of requests
     * @param load factor on all their rates
     * @param seconds length of the run
     * @param seed seed of all that is drawn
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

    /** The first owner sends twice as much as each of the others. */
    private static String owner(Traffic kind, SplittableRandom random) {
        int share = random.nextInt(kind.owners().size() + 1);
        return kind.owners().get(Math.max(0, share - 1));
    }
}
