package org.quetzalseam.cli;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import org.quetzalseam.cli.load.LoadRun;
import org.quetzalseam.cli.load.PlannedRequest;
import org.quetzalseam.cli.load.Report;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.load.Schedule;
import org.quetzalseam.cli.operate.PrintingCommand;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.EntryVm;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.core.catalogue.Route;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs a complete deployment in one JVM, and fails if a guarantee was violated or an answer was lost. */
@Command(
        name = "demo",
        description =
                "Runs a complete deployment in this process, with stand-ins, and reports what its callers experience.",
        mixinStandardHelpOptions = true)
final class DemoCommand extends PrintingCommand implements Callable<Integer> {
    private static final int PROMISES_BROKEN = 1;
    private static final Duration PROGRESS_INTERVAL = Duration.ofSeconds(2);

    @Option(
            names = "--deployment",
            description = "landesamt or kowhai. Default: ${DEFAULT-VALUE}.",
            defaultValue = "landesamt")
    private String deploymentName = "landesamt";

    @Option(
            names = "--seconds",
            description = "Duration of request arrivals. Default: ${DEFAULT-VALUE}.",
            defaultValue = "12")
    private double seconds = 12;

    @Option(
            names = "--load",
            description = "Load, as a fraction of the load the deployment is sized for. Default: ${DEFAULT-VALUE}.",
            defaultValue = "0.7")
    private double load = 0.7;

    @Option(
            names = "--speed",
            description = "Speed of the stand-ins, as a multiple of real engines. Default: ${DEFAULT-VALUE}.",
            defaultValue = "4")
    private double speed = 4;

    @Option(names = "--seed", description = "Seed of the arrivals. Default: ${DEFAULT-VALUE}.", defaultValue = "1")
    private long seed = 1;

    @Option(names = "--keep", description = "Keep running afterwards until interrupted, and print example requests.")
    private boolean keep;

    @Override
    public Integer call() {
        PrintWriter out = out();
        Deployment deployment = Deployment.bundled(deploymentName);
        Site site = new Site(deployment, SiteOptions.defaults().withSpeed(speed));
        out.printf(
                "starting %s: %d zones, %d entries%n",
                deploymentName, deployment.zones().size(), deployment.entries());
        deployment.pools().forEach(pool -> out.printf("  pool %s: %d servers%n", pool.name(), pool.servers()));
        out.flush();
        site.start();
        try {
            List<Traffic> traffic = accelerate(deployment.traffic());
            List<PlannedRequest> schedule = Schedule.draw(traffic, load, seconds, seed);
            out.printf(
                    "sending %d requests over %.0f s at load %.2f, %.0f times real speed%n",
                    schedule.size(), seconds, load, speed);
            out.flush();
            List<Sample> samples = send(site, schedule, out);
            Report report = Report.of(site, traffic, samples);
            report.print(out);
            boolean broken = !report.violations().isEmpty() || hasLostAnswers(report);
            if (keep) {
                keepRunning(site, out);
            }
            return broken ? PROMISES_BROKEN : 0;
        } finally {
            site.stop();
        }
    }

    private List<Traffic> accelerate(List<Traffic> traffic) {
        return traffic.stream().map(kind -> kind.faster(speed)).toList();
    }

    private List<Sample> send(Site site, List<PlannedRequest> schedule, PrintWriter out) {
        LoadRun run = new LoadRun(site, "demo" + seed, 0);
        Thread progress = new Thread(() -> {
            while (!Thread.currentThread().isInterrupted()) {
                Wait.sleep(PROGRESS_INTERVAL);
                out.printf("  %d of %d ended%n", run.ended(), schedule.size());
                out.flush();
            }
        });
        progress.setDaemon(true);
        progress.start();
        List<Sample> samples = run.run(schedule, seed);
        progress.interrupt();
        return samples;
    }

    private static boolean hasLostAnswers(Report report) {
        return report.summaries().stream()
                        .mapToInt(row -> row.cutOff() + row.wrong() + row.incomplete())
                        .sum()
                > 0;
    }

    private static void keepRunning(Site site, PrintWriter out) {
        EntryVm entry = site.entries().get(0);
        Traffic model = findTraffic(site, Route.Kind.MODEL);
        Traffic service = findTraffic(site, Route.Kind.SERVICE);
        String token = Deployment.token(model.owners().get(0));
        out.printf("%nTry:%n");
        out.printf(
                "  curl -N -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"Lot 7, Bavaria no. 1.\","
                        + "\"max_tokens\":20,\"stream\":true}' %s/v1/completions%n",
                token, model.route().name(), entry.url());
        out.printf("  curl -H 'Authorization: Bearer %s' %s/v1/models%n", token, entry.url());
        out.printf(
                "  curl -i -X POST -H 'Authorization: Bearer %s' -d '{}' %s/services/%s/lots/7%n",
                token, entry.url(), service.route().name());
        out.printf("  curl %s/status ; curl %s/metrics%n", entry.operatorUrl(), entry.operatorUrl());
        out.printf("  bin/quetzalseam status --platform %s%n", site.platform().url());
        out.flush();
        Wait.sleep(Duration.ofDays(1));
    }

    private static Traffic findTraffic(Site site, Route.Kind kind) {
        return site.deployment().traffic().stream()
                .filter(traffic -> traffic.route().kind() == kind)
                .findFirst()
                .orElseThrow();
    }
}
