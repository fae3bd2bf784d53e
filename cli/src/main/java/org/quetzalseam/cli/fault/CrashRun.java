package org.quetzalseam.cli.fault;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.quetzalseam.cli.load.Caller;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.load.LoadRun;
import org.quetzalseam.cli.load.PlannedRequest;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.load.Schedule;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.core.catalogue.Route;
import org.quetzalseam.daemon.settings.Settings.BackendKind;

/**
 * Sends traffic to a site whose decode engines crash again and again: because of one completion that callers repeat at all
 * entries, because of what completions have in common that are never alike, or, as a control, without any such request.
 */
public final class CrashRun {
    private static final double LOAD = 0.25;
    private static final double SPEED = 8;
    /** Crashes that a cause may have later than {@link #NOTICE} after those that make it a suspect. */
    private static final int MAX_LATE_CRASHES = 3;

    private static final Duration NOTICE = Duration.ofSeconds(3);
    private static final Duration RESTART_TIME = Duration.ofMillis(500);
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(200);
    private static final Duration CONTROL_INTERVAL = Duration.ofMillis(600);
    private static final String RUN_ID = "crash";
    private static final String QUARANTINED = "quarantined";

    private final long seed;
    private final double seconds;
    private final Cause cause;
    private final Site site;
    private final Caller caller = new Caller();
    private volatile boolean finished;
    private volatile int crashesInNotice;

    /** Why engines crash. */
    public enum Cause {
        /** One completion, which is repeated. */
        COMPLETION("one completion", 3),
        /** A part of prompts that differ otherwise. */
        PART("a part of prompts", 5),
        /** Nothing that requests hold. */
        NONE("control", 3);

        private final String label;
        private final int suspectCrashes;

        Cause(String label, int suspectCrashes) {
            this.label = label;
            this.suspectCrashes = suspectCrashes;
        }
    }

    /**
     * What came of the crashes. Immutable.
     *
     * @param crashes number of crashes of decode engines
     * @param lateCrashes those later than three seconds after as many as make their cause a suspect
     * @param sent number of other requests
     * @param answered number of these that were answered
     * @param quarantined number of these that were refused as the cause of crashes
     * @param cause why engines crashed
     */
    public record Result(int crashes, int lateCrashes, int sent, int answered, int quarantined, Cause cause) {
        /** Returns whether the cause crashed few engines and no other request was taken for it. */
        public boolean good() {
            return (cause == Cause.NONE || lateCrashes <= MAX_LATE_CRASHES) && quarantined == 0;
        }

        /** Prints the result. */
        public void print(PrintWriter out) {
            out.printf(
                    Locale.ROOT,
                    "%s: %d crashes, %d of them later than %d s after number %d; of %d other requests %d answered, %d quarantined%n",
                    cause.label,
                    crashes,
                    lateCrashes,
                    NOTICE.toSeconds(),
                    cause.suspectCrashes,
                    sent,
                    answered,
                    quarantined);
        }
    }

    /** Creates a run on a bundled deployment. */
    public CrashRun(String deployment, long seed, double seconds, Cause cause) {
        this.seed = seed;
        this.seconds = seconds;
        this.cause = cause;
        this.site =
                new Site(Deployment.bundled(deployment), SiteOptions.defaults().withSpeed(SPEED));
    }

    /** Starts the site, executes the run, stops the site, and returns the result. */
    public Result run() {
        site.start();
        ExecutorService threads = Executors.newFixedThreadPool(2);
        try {
            List<Traffic> traffic = site.deployment().traffic().stream()
                    .map(kind -> kind.faster(SPEED))
                    .toList();
            List<PlannedRequest> schedule = Schedule.draw(traffic, LOAD, seconds, seed);
            threads.execute(cause == Cause.NONE ? this::crashAtRandom : () -> sendCrashingCompletions(traffic));
            threads.execute(this::awaitNotice);
            List<Sample> samples = new LoadRun(site, "crashrun" + seed, 0).run(schedule, seed);
            finished = true;
            return result(samples);
        } finally {
            finished = true;
            threads.shutdown();
            site.stop();
        }
    }

    private Result result(List<Sample> samples) {
        int crashes = crashes();
        return new Result(
                crashes,
                Math.max(0, crashes - Math.max(crashesInNotice, cause.suspectCrashes)),
                samples.size(),
                (int) samples.stream()
                        .filter(sample -> sample.outcome() == CallerOutcome.ANSWERED)
                        .count(),
                (int) samples.stream()
                        .filter(sample -> sample.code().equals(QUARANTINED))
                        .count(),
                cause);
    }

    private List<EndpointVm> decoders() {
        return site.endpoints().stream()
                .filter(vm -> vm.pool().kind() == BackendKind.DECODE)
                .toList();
    }

    private int crashes() {
        return decoders().stream()
                .mapToInt(vm -> vm.backend().engine().crashes())
                .sum();
    }

    /** Notes how many crashes there were until shortly after those that make their cause a suspect. */
    private void awaitNotice() {
        while (!finished && crashes() < cause.suspectCrashes) {
            Wait.sleep(Duration.ofMillis(20));
        }
        Wait.sleep(NOTICE);
        crashesInNotice = crashes();
    }

    private void sendCrashingCompletions(List<Traffic> traffic) {
        Traffic kind = traffic.stream()
                .filter(candidate -> candidate.route().kind() == Route.Kind.MODEL)
                .findFirst()
                .orElseThrow();
        boolean alike = cause == Cause.COMPLETION;
        String crashing = alike ? RUN_ID + "-0 " : RUN_ID + "-";
        decoders().forEach(vm -> vm.backend().engine().crashOn(crashing, RESTART_TIME.toMillis()));
        for (int i = 0; !finished; i++) {
            String entry = site.entries().get(i % site.entries().size()).url();
            PlannedRequest planned =
                    new PlannedRequest(alike ? 0 : i, 0, kind, kind.owners().get(0), 50, 5);
            caller.send(planned, entry, System.nanoTime(), RUN_ID, -1);
            Wait.sleep(REPEAT_INTERVAL);
        }
    }

    private void crashAtRandom() {
        SplittableRandom random = new SplittableRandom(seed);
        List<EndpointVm> decoders = decoders();
        while (!finished) {
            decoders.get(random.nextInt(decoders.size())).backend().engine().crash(RESTART_TIME.toMillis());
            Wait.sleep(CONTROL_INTERVAL);
        }
    }
}
