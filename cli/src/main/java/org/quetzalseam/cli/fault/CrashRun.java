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
 * entries, or, as a control, without any such request.
 */
public final class CrashRun {
    private static final double LOAD = 0.25;
    private static final double SPEED = 8;
    private static final int SUSPECT_CRASHES = 3;
    /** Crashes that one completion may cause later than {@link #NOTICE} after its third one. */
    private static final int MAX_LATE_CRASHES = 3;

    private static final Duration NOTICE = Duration.ofSeconds(3);
    private static final Duration RESTART_TIME = Duration.ofMillis(500);
    private static final Duration REPEAT_INTERVAL = Duration.ofMillis(200);
    private static final Duration CONTROL_INTERVAL = Duration.ofMillis(600);
    private static final String RUN_ID = "crash";
    private static final String QUARANTINED = "quarantined";

    private final long seed;
    private final double seconds;
    private final boolean control;
    private final Site site;
    private final Caller caller = new Caller();
    private volatile boolean finished;
    private volatile int crashesInNotice;

    /**
     * What came of the crashes. Immutable.
     *
     * @param crashes number of crashes of decode engines
     * @param lateCrashes those later than three seconds after the third one
     * @param sent number of other requests
     * @param answered number of these that were answered
     * @param quarantined number of these that were refused as the cause of crashes
     * @param control whether there was no completion that caused the crashes
     */
    public record Result(int crashes, int lateCrashes, int sent, int answered, int quarantined, boolean control) {
        /** Returns whether the completion crashed few engines and no other request was taken for it. */
        public boolean good() {
            return (control || lateCrashes <= MAX_LATE_CRASHES) && quarantined == 0;
        }

        /** Prints the result. */
        public void print(PrintWriter out) {
            out.printf(
                    Locale.ROOT,
                    "%s: %d crashes, %d of them later than %d s after the third; of %d other requests %d answered, %d quarantined%n",
                    control ? "control" : "one completion",
                    crashes,
                    lateCrashes,
                    NOTICE.toSeconds(),
                    sent,
                    answered,
                    quarantined);
        }
    }

    /** Creates a run on a bundled deployment; with {@code control} the crashes have no cause among the requests. */
    public CrashRun(String deployment, long seed, double seconds, boolean control) {
        this.seed = seed;
        this.seconds = seconds;
        this.control = control;
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
            threads.execute(control ? this::crashAtRandom : () -> repeatCrashingCompletion(traffic));
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
                Math.max(0, crashes - Math.max(crashesInNotice, SUSPECT_CRASHES)),
                samples.size(),
                (int) samples.stream()
                        .filter(sample -> sample.outcome() == CallerOutcome.ANSWERED)
                        .count(),
                (int) samples.stream()
                        .filter(sample -> sample.code().equals(QUARANTINED))
                        .count(),
                control);
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

    /** Notes how many crashes there were until shortly after the third one. */
    private void awaitNotice() {
        while (!finished && crashes() < SUSPECT_CRASHES) {
            Wait.sleep(Duration.ofMillis(20));
        }
        Wait.sleep(NOTICE);
        crashesInNotice = crashes();
    }

    private void repeatCrashingCompletion(List<Traffic> traffic) {
        Traffic kind = traffic.stream()
                .filter(candidate -> candidate.route().kind() == Route.Kind.MODEL)
                .findFirst()
                .orElseThrow();
        PlannedRequest crashing = new PlannedRequest(0, 0, kind, kind.owners().get(0), 50, 5);
        decoders().forEach(vm -> vm.backend().engine().crashOn(RUN_ID + "-0 ", RESTART_TIME.toMillis()));
        for (int i = 0; !finished; i++) {
            String entry = site.entries().get(i % site.entries().size()).url();
            caller.send(crashing, entry, System.nanoTime(), RUN_ID, -1);
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
