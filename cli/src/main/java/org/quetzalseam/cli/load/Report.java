package org.quetzalseam.cli.load;

import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.core.catalogue.Catalogue;
import org.quetzalseam.core.catalogue.CatalogueParser;
import org.quetzalseam.core.catalogue.EntrySpec;
import org.quetzalseam.core.catalogue.Route;
import org.quetzalseam.core.catalogue.Targets;

/**
 * Results of a run: outcomes that callers observed, reconciled with the records of services and engines. Immutable.
 *
 * @param summaries one summary per kind of requests, in the order of the deployment
 * @param madeTokens number of prompt tokens that engines prefilled
 * @param wastedTokens number of prompt tokens that were prefilled but not used
 * @param violations descriptions of the violated guarantees, one per violation
 */
public record Report(List<Summary> summaries, long madeTokens, long wastedTokens, List<String> violations) {
    private static final double PERCENT = 100;
    private static final int SHOWN_VIOLATIONS = 20;

    /** Copies the lists. */
    public Report {
        summaries = List.copyOf(summaries);
        violations = List.copyOf(violations);
    }

    /** Creates the report of a run from its samples and the records of the site. */
    public static Report of(Site site, List<Traffic> traffic, List<Sample> samples) {
        Catalogue catalogue = CatalogueParser.parse(site.catalogue()).catalogue();
        List<Summary> summaries = new ArrayList<>();
        for (Traffic kind : traffic) {
            List<Sample> own = samples.stream()
                    .filter(sample -> sample.traffic().equals(kind))
                    .toList();
            summaries.add(Summary.of(kind.name(), own, targets(catalogue, kind)));
        }
        return new Report(
                summaries,
                site.registry().madeTokens(),
                site.registry().wastedTokens(),
                violations(site.ledger().counts(), catalogue, samples));
    }

    /** Returns the latency targets of a kind of requests. */
    public static Targets targets(Catalogue catalogue, Traffic kind) {
        EntrySpec entry = catalogue.entries().get(kind.owners().get(0) + "-" + kind.name());
        if (entry == null) {
            throw new IllegalArgumentException("traffic " + kind.name() + ": no catalogue entry of this name");
        }
        return entry.targets();
    }

    private static List<String> violations(Map<String, Integer> executions, Catalogue catalogue, List<Sample> samples) {
        List<String> violations = new ArrayList<>();
        for (Sample sample : samples) {
            if (sample.outcome() == CallerOutcome.WRONG) {
                violations.add(sample.businessId() + ": the answer was incomplete or belongs to another request");
            }
            boolean counted = sample.traffic().route().kind() == Route.Kind.SERVICE;
            if (counted) {
                int runs = executions.getOrDefault(sample.businessId(), 0);
                EntrySpec entry = catalogue
                        .entries()
                        .get(sample.owner() + "-" + sample.traffic().name());
                check(sample, runs, entry != null && entry.idempotent(), violations);
            }
        }
        return violations;
    }

    private static void check(Sample sample, int runs, boolean idempotent, List<String> violations) {
        if (sample.outcome() == CallerOutcome.NOT_RUN && runs > 0) {
            violations.add(sample.businessId() + ": reported as not run, but ran " + runs + " times");
        }
        if (sample.outcome() == CallerOutcome.ANSWERED && runs == 0) {
            violations.add(sample.businessId() + ": answered, but never ran");
        }
        if (!idempotent && runs > 1) {
            violations.add(sample.businessId() + ": not idempotent, but ran " + runs + " times");
        }
    }

    /** Returns the percentage of prefilled prompt tokens that were wasted. */
    public double wastedPercent() {
        return madeTokens == 0 ? 0 : PERCENT * wastedTokens / madeTokens;
    }

    /** Returns the number of requests that were answered within both latency targets. */
    public int good() {
        return summaries.stream().mapToInt(Summary::good).sum();
    }

    /** Prints the report as a table. */
    public void print(PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "%-16s %7s %8s %7s %7s %6s %7s %6s %5s  %17s  %17s%n",
                "traffic",
                "sent",
                "answered",
                "good",
                "not-run",
                "incom.",
                "unknown",
                "cut",
                "wrong",
                "first p50/p95 ms",
                "steady p50/p95 ms");
        for (Summary row : summaries) {
            out.printf(
                    Locale.ROOT,
                    "%-16s %7d %8d %6.1f%% %7d %6d %7d %6d %5d  %8.1f/%8.1f  %8.1f/%8.1f%n",
                    row.name(),
                    row.count(),
                    row.answered(),
                    percent(row.good(), row.count()),
                    row.notRun(),
                    row.incomplete(),
                    row.unknown(),
                    row.cutOff(),
                    row.wrong(),
                    row.first().p50(),
                    row.first().p95(),
                    row.steady().p50(),
                    row.steady().p95());
        }
        out.printf(Locale.ROOT, "wasted prefill: %.2f%% of %d tokens%n", wastedPercent(), madeTokens);
        out.printf("broken promises: %d%n", violations.size());
        violations.stream().limit(SHOWN_VIOLATIONS).forEach(violation -> out.println("  " + violation));
        out.flush();
    }

    private static double percent(int part, int whole) {
        return whole == 0 ? 0 : PERCENT * part / whole;
    }
}
