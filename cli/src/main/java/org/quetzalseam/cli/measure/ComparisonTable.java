package org.quetzalseam.cli.measure;

import java.io.PrintWriter;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.ToDoubleFunction;

/** Prints the results of a comparison: medians and spread over seeds, and ratios to the last policy. Stateless. */
public final class ComparisonTable {
    private static final double PERCENT = 100;

    private ComparisonTable() {}

    /** Prints one row per load and policy. The last policy is the baseline of the ratios. */
    public static void print(List<Measured> results, PrintWriter out) {
        out.printf(
                "%-5s %-15s %22s %8s %16s %12s %12s %6s %10s%n",
                "load",
                "policy",
                "goodput % (min-max)",
                "ratio",
                "wasted % (max)",
                "short p95",
                "long p95",
                "Jain",
                "unanswered");
        List<Double> loads = results.stream().map(Measured::load).distinct().toList();
        List<String> policies =
                results.stream().map(Measured::policy).distinct().toList();
        for (double load : loads) {
            List<Measured> base = select(results, load, policies.get(policies.size() - 1));
            for (String policy : policies) {
                printRow(load, policy, select(results, load, policy), base, out);
            }
        }
        out.printf(
                "ratio: goodput relative to %s; the median over seeds of ratios on the same arrivals%n",
                policies.get(policies.size() - 1));
        out.flush();
    }

    private static void printRow(
            double load, String policy, List<Measured> runs, List<Measured> base, PrintWriter out) {
        double[] ratios = new double[runs.size()];
        for (int i = 0; i < ratios.length; i++) {
            ratios[i] = base.get(i).goodput() == 0
                    ? 0
                    : runs.get(i).goodput() / base.get(i).goodput();
        }
        out.printf(
                Locale.ROOT,
                "%-5.2f %-15s %9.1f (%4.1f-%5.1f) %8.2f %8.2f (%4.2f) %12.0f %12.0f %6.3f %10d%n",
                load,
                policy,
                PERCENT * median(runs, Measured::goodput),
                PERCENT * runs.stream().mapToDouble(Measured::goodput).min().orElse(0),
                PERCENT * runs.stream().mapToDouble(Measured::goodput).max().orElse(0),
                medianOf(ratios),
                median(runs, Measured::wastedPercent),
                runs.stream().mapToDouble(Measured::wastedPercent).max().orElse(0),
                median(runs, Measured::shortP95),
                median(runs, Measured::longP95),
                median(runs, Measured::jain),
                runs.stream().mapToInt(Measured::unanswered).sum());
    }

    private static List<Measured> select(List<Measured> results, double load, String policy) {
        return results.stream()
                .filter(run -> run.load() == load && run.policy().equals(policy))
                .toList();
    }

    private static double median(List<Measured> runs, ToDoubleFunction<Measured> figure) {
        return medianOf(runs.stream().mapToDouble(figure).toArray());
    }

    private static double medianOf(double[] values) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        if (sorted.length == 0) {
            return 0;
        }
        int half = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[half] : (sorted[half - 1] + sorted[half]) / 2;
    }
}
