package org.quetzalseam.cli.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.quetzalseam.cli.fault.KillOne;
import org.quetzalseam.cli.load.LoadRun;
import org.quetzalseam.cli.load.PlannedRequest;
import org.quetzalseam.cli.load.Report;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.load.Schedule;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.core.catalogue.CatalogueParser;

/**
 * Runs policies in turn on the same arrivals: A and B at the first load with the first seed, then with the second, and so
 * on, so that a drift of the machine's speed affects both. Immutable.
 *
 * @param deployment name of the deployment
 * @param speed speed of the stand-ins, as a multiple of real engines
 * @param seconds duration of each run
 * @param loads offered loads
 * @param seeds seeds of the arrivals
 * @param policies names of the policies
 * @param kill whether one decode endpoint is killed in the middle of each run
 */
public record Comparison(
        String deployment,
        double speed,
        double seconds,
        List<Double> loads,
        List<Long> seeds,
        List<String> policies,
        boolean kill) {
    /** Copies the lists. */
    public Comparison {
        loads = List.copyOf(loads);
        seeds = List.copyOf(seeds);
        policies = List.copyOf(policies);
    }

    /** Executes all runs and returns their results. Passes each result to {@code progress} when it is available. */
    public List<Measured> run(Consumer<Measured> progress) {
        List<Measured> results = new ArrayList<>();
        for (double load : loads) {
            for (long seed : seeds) {
                for (String policy : policies) {
                    Measured measured = measure(policy, load, seed);
                    results.add(measured);
                    progress.accept(measured);
                }
            }
        }
        return results;
    }

    private Measured measure(String policy, double load, long seed) {
        Deployment chosen = Deployment.bundled(deployment);
        SiteOptions options = Policies.with(SiteOptions.defaults().withSpeed(speed), policy);
        Site site = new Site(chosen, options);
        site.start();
        try {
            List<Traffic> traffic =
                    chosen.traffic().stream().map(kind -> kind.faster(speed)).toList();
            List<PlannedRequest> schedule = Schedule.draw(traffic, load, seconds, seed);
            if (kill) {
                KillOne.after(site, seconds / 2);
            }
            List<Sample> samples = new LoadRun(site, policy + load + "s" + seed, 0).run(schedule, seed);
            Report report = Report.of(site, traffic, samples);
            return Measured.of(
                    policy, load, seed, CatalogueParser.parse(site.catalogue()).catalogue(), samples, report);
        } finally {
            site.stop();
        }
    }
}
