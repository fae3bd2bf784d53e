package org.quetzalseam.cli.measure;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalseam.cli.load.Report;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.load.Summary;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.catalogue.Catalogue;
import org.quetzalseam.core.catalogue.Route;

/**
 * Results of one run of one policy. Immutable.
 *
 * @param policy the policy's name
 * @param load the offered load, as a fraction of the load the deployment is sized for
 * @param seed seed of the arrivals
 * @param sentToModels number of completions sent
 * @param goodput completions answered within both targets, as a fraction of those sent
 * @param wastedPercent percentage of prefilled prompt tokens that were not used
 * @param shortWithin short completions answered within both targets, as a fraction of those sent
 * @param shortP95 95th percentile of the time to the first output of short completions, in milliseconds
 * @param longP95 the same of long completions
 * @param jain Jain's fairness index of the owners' fractions of good long completions
 * @param unanswered number of completions whose answers were incomplete or cut off
 * @param violations number of violated guarantees
 */
public record Measured(
        String policy,
        double load,
        long seed,
        int sentToModels,
        double goodput,
        double wastedPercent,
        double shortWithin,
        double shortP95,
        double longP95,
        double jain,
        int unanswered,
        int violations) {
    static Measured of(
            String policy, double load, long seed, Catalogue catalogue, List<Sample> samples, Report report) {
        List<Sample> models = samples.stream()
                .filter(sample -> sample.traffic().route().kind() == Route.Kind.MODEL)
                .toList();
        Map<String, double[]> owners = new TreeMap<>();
        int good = 0;
        for (Sample sample : models) {
            boolean isGood = Summary.isGood(sample, Report.targets(catalogue, sample.traffic()));
            good += isGood ? 1 : 0;
            if (sample.traffic().workClass() == WorkClass.LONG) {
                double[] counts = owners.computeIfAbsent(sample.owner(), unused -> new double[2]);
                counts[0] += isGood ? 1 : 0;
                counts[1]++;
            }
        }
        Summary shortRow = row(report, models, WorkClass.SHORT);
        Summary longRow = row(report, models, WorkClass.LONG);
        int unanswered = shortRow.incomplete() + shortRow.cutOff() + longRow.incomplete() + longRow.cutOff();
        return new Measured(
                policy,
                load,
                seed,
                models.size(),
                models.isEmpty() ? 0 : (double) good / models.size(),
                report.wastedPercent(),
                shortRow.count() == 0 ? 0 : (double) shortRow.good() / shortRow.count(),
                shortRow.first().p95(),
                longRow.first().p95(),
                jain(owners),
                unanswered,
                report.violations().size());
    }

    private static Summary row(Report report, List<Sample> models, WorkClass workClass) {
        String name = models.stream()
                .map(Sample::traffic)
                .filter(traffic -> traffic.workClass() == workClass)
                .findFirst()
                .orElseThrow()
                .name();
        return report.summaries().stream()
                .filter(summary -> summary.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Returns Jain's fairness index: 1 if all n owners have equal fractions, 1/n if one owner has everything. */
    private static double jain(Map<String, double[]> owners) {
        double sum = 0;
        double squares = 0;
        for (double[] counts : owners.values()) {
            double share = counts[1] == 0 ? 0 : counts[0] / counts[1];
            sum += share;
            squares += share * share;
        }
        return squares == 0 ? 0 : sum * sum / (owners.size() * squares);
    }
}
