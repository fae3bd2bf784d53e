package org.quetzalseam.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import org.quetzalseam.cli.fault.CrashRun;
import org.quetzalseam.cli.fault.FaultRun;
import org.quetzalseam.cli.measure.AddedTime;
import org.quetzalseam.cli.measure.Capacity;
import org.quetzalseam.cli.measure.Comparison;
import org.quetzalseam.cli.measure.ComparisonTable;
import org.quetzalseam.cli.measure.Measured;
import org.quetzalseam.cli.measure.Plot;
import org.quetzalseam.cli.operate.PrintingCommand;
import org.quetzalseam.daemon.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Measures a deployment, or checks its guarantees under injected faults. */
@Command(
        name = "bench",
        description = {
            "Measures a deployment with stand-ins, or checks its guarantees under injected faults.",
            "Without --faults, --crash, --added-time or --capacity, compares policies on the same arrivals."
        },
        mixinStandardHelpOptions = true)
final class BenchCommand extends PrintingCommand implements Callable<Integer> {
    private static final int PROMISES_BROKEN = 1;
    private static final double ADDED_TIME_RATE = 200;

    @Option(names = "--deployment", description = "landesamt or kowhai.", defaultValue = "landesamt")
    private String deployment = "landesamt";

    @Option(names = "--seconds", description = "Duration of request arrivals in each run.", defaultValue = "20")
    private double seconds = 20;

    @Option(
            names = "--speed",
            description = "Speed of the stand-ins, as a multiple of real engines.",
            defaultValue = "4")
    private double speed = 4;

    @Option(names = "--load", split = ",", description = "Offered loads, such as 0.7,1.0.", defaultValue = "1.0")
    private List<Double> loads = List.of();

    @Option(names = "--seed", split = ",", description = "Seeds of the arrivals.", defaultValue = "1")
    private List<Long> seeds = List.of();

    @Option(names = "--policy", description = "The policy to measure.", defaultValue = "default")
    private String policy = "default";

    @Option(names = "--versus", split = ",", description = "Policies to compare with; the last is the baseline.")
    private List<String> versus = List.of();

    @Option(names = "--kill", description = "Kill one decode endpoint in the middle of each run.")
    private boolean kill;

    @Option(names = "--json", paramLabel = "FILE", description = "Write all results to this file as JSON.")
    private Optional<Path> json = Optional.empty();

    @Option(names = "--plot", paramLabel = "FILE", description = "Write a PNG plot of goodput and waste against load.")
    private Optional<Path> plot = Optional.empty();

    @Option(names = "--faults", paramLabel = "SEED", description = "Inject random faults and reconcile all records.")
    private Optional<Long> faults = Optional.empty();

    @Option(names = "--repeat-answers", description = "With --faults: services also send answers again, whole or cut.")
    private boolean repeatAnswers;

    @Option(
            names = "--non-reading-clients",
            description =
                    "With --faults: clients that send requests ahead and never read an answer are connected to all entries.")
    private boolean nonReadingClients;

    @Option(
            names = "--crash",
            description =
                    "Repeat a completion that crashes each engine that decodes it; send completions with a part that does; then crash"
                            + " engines without one.")
    private boolean crash;

    @Option(
            names = "--added-time",
            description = "Measure the time that the router adds to short calls, at 200 per second.")
    private boolean addedTime;

    @Option(names = "--capacity", description = "Measure the slopes of docs/CAPACITY.md.")
    private boolean capacity;

    @Override
    public Integer call() {
        if (faults.isPresent()) {
            return faultRun(faults.get());
        }
        if (crash) {
            return crashRuns();
        }
        if (addedTime) {
            new AddedTime(deployment, ADDED_TIME_RATE, seconds).run(out());
            return 0;
        }
        if (capacity) {
            new Capacity().run(out());
            return 0;
        }
        return compare();
    }

    private int compare() {
        List<String> policies = new ArrayList<>(List.of(policy));
        policies.addAll(versus);
        Comparison comparison = new Comparison(deployment, speed, seconds, loads, seeds, policies, kill);
        out().printf("%s, %s%n", deployment, comparison);
        out().flush();
        List<Measured> results = comparison.run(this::progress);
        ComparisonTable.print(results, out());
        json.ifPresent(file -> write(file, results));
        plot.ifPresent(file -> Plot.write(results, deployment, file));
        return results.stream().anyMatch(run -> run.violations() > 0) ? PROMISES_BROKEN : 0;
    }

    private void progress(Measured run) {
        out().printf(
                        Locale.ROOT,
                        "  load %.2f seed %d %-15s goodput %.3f wasted %.2f%%%s%n",
                        run.load(),
                        run.seed(),
                        run.policy(),
                        run.goodput(),
                        run.wastedPercent(),
                        run.violations() > 0 ? " BROKEN PROMISES: " + run.violations() : "");
        out().flush();
    }

    private static void write(Path file, List<Measured> results) {
        try {
            Files.write(file, Json.write(results));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + file, e);
        }
    }

    private int crashRuns() {
        boolean good = true;
        for (CrashRun.Cause cause : CrashRun.Cause.values()) {
            CrashRun.Result result = new CrashRun(deployment, seeds.get(0), seconds, cause).run();
            result.print(out());
            out().flush();
            good &= result.good();
        }
        return good ? 0 : PROMISES_BROKEN;
    }

    private int faultRun(long seed) {
        PrintWriter out = out();
        out.printf("%s, %.0f s, faults from seed %d%n", deployment, seconds, seed);
        out.flush();
        FaultRun.Result result = new FaultRun(deployment, seed, seconds, repeatAnswers, nonReadingClients).run();
        result.report().print(out);
        out.println("faults: " + new TreeMap<>(result.faults()));
        out.flush();
        return result.report().violations().isEmpty() ? 0 : PROMISES_BROKEN;
    }
}
