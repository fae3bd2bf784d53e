package org.quetzalseam.cli.fault;

import com.google.common.flogger.FluentLogger;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BooleanSupplier;
import org.quetzalseam.cli.load.LoadRun;
import org.quetzalseam.cli.load.PlannedRequest;
import org.quetzalseam.cli.load.Report;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.load.Schedule;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.EntryVm;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.standins.client.NonReadingClients;
import org.quetzalseam.standins.client.ReconnectingClients;

/**
 * Sends traffic to a site while random faults are injected, two or more kinds at a time. Then waits until the site
 * settles, and compares the outcomes that callers learned with the calls that services executed, the memory that
 * engines hold, and the catalogue that is in force.
 */
public final class FaultRun {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final double SPEED = 8;
    private static final double LOAD = 0.25;
    private static final double HANG_UP_SHARE = 0.1;
    private static final int MAX_ATTEMPTS = 6;
    private static final Duration SETTLE_TIMEOUT = Duration.ofSeconds(20);
    private static final int INJECTORS = 3;
    /** Clients at each entry that never read an answer, and what they send. */
    private static final int NON_READING_CLIENTS = 4;

    private static final int RECONNECTING_CLIENTS = 1;
    /** More than such a client can open during a run. */
    private static final int RECONNECTIONS = 1_000_000;

    private static final int UNREAD_REQUESTS_AHEAD = 50;

    private static final String UNREAD_REQUEST = "GET /nowhere HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final List<Fault> KINDS = List.of(Fault.values());

    /**
     * The result of a run. Immutable.
     *
     * @param report what callers experienced, with all violated guarantees
     * @param faults number of injected faults by kind
     */
    public record Result(Report report, Map<String, Integer> faults) {
        /** Copies the map. */
        public Result {
            faults = Map.copyOf(faults);
        }
    }

    private final long seed;
    private final double seconds;
    private final Site site;
    private final Map<Fault, Integer> counts = new EnumMap<>(Fault.class);
    private final Map<Fault, ReentrantLock> locks = new EnumMap<>(Fault.class);
    private final ReentrantLock processLock = new ReentrantLock();
    private final VersionWatch versions;
    private final boolean nonReadingClients;
    private volatile boolean finished;

    /** Creates a fault run on a bundled deployment. */
    public FaultRun(String deployment, long seed, double seconds) {
        this(deployment, seed, seconds, false, false);
    }

    /** Creates such a run, in which services may also send answers again, whole or cut. */
    public FaultRun(String deployment, long seed, double seconds, boolean repeatedAnswers) {
        this(deployment, seed, seconds, repeatedAnswers, false);
    }

    /** Creates such a run, in which clients that never read an answer may also be connected to all entries. */
    public FaultRun(String deployment, long seed, double seconds, boolean repeatedAnswers, boolean nonReadingClients) {
        this.nonReadingClients = nonReadingClients;
        this.seed = seed;
        this.seconds = seconds;
        SiteOptions options = SiteOptions.defaults()
                .withSpeed(SPEED)
                .withProxies()
                .withRepeatedAnswers(repeatedAnswers)
                .withTiming("lame-duck-ms", "300")
                .withTiming("drain-seconds", "60");
        this.site = new Site(Deployment.bundled(deployment), options);
        this.versions = new VersionWatch(site);
        for (Fault fault : Fault.values()) {
            counts.put(fault, 0);
            locks.put(fault, new ReentrantLock());
        }
    }

    /** Starts the site, executes the run, stops the site, and returns the result. */
    public Result run() {
        site.start();
        try {
            return runStarted();
        } finally {
            site.stop();
        }
    }

    private Result runStarted() {
        List<Traffic> traffic = site.deployment().traffic().stream()
                .map(kind -> kind.faster(SPEED))
                .toList();
        List<PlannedRequest> schedule = Schedule.draw(traffic, LOAD, seconds, seed);
        versions.start();
        ExecutorService injectors = Executors.newFixedThreadPool(INJECTORS);
        SplittableRandom seeds = new SplittableRandom(seed);
        for (int i = 0; i < INJECTORS; i++) {
            SplittableRandom random = seeds.split();
            injectors.execute(() -> injectFaults(random));
        }
        List<AutoCloseable> crowds = connectNonReadingClients();
        List<Sample> samples = new LoadRun(site, "fault" + seed, HANG_UP_SHARE, MAX_ATTEMPTS).run(schedule, seed);
        crowds.forEach(FaultRun::disconnect);
        finished = true;
        injectors.shutdown();
        awaitEnd(injectors);
        List<String> violations = new ArrayList<>();
        Report report = Report.of(site, traffic, samples);
        violations.addAll(report.violations());
        violations.addAll(settle());
        violations.addAll(versions.stop());
        Map<String, Integer> faults = new TreeMap<>();
        counts.forEach((fault, count) -> faults.put(fault.name(), count));
        return new Result(
                new Report(report.summaries(), report.madeTokens(), report.wastedTokens(), violations), faults);
    }

    /** Connects clients to all entries that send requests ahead and never read an answer; some close and connect again and again. */
    private List<AutoCloseable> connectNonReadingClients() {
        List<AutoCloseable> crowds = new ArrayList<>();
        for (EntryVm entry : nonReadingClients ? site.entries() : List.<EntryVm>of()) {
            URI uri = URI.create(entry.url());
            InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), uri.getPort());
            crowds.add(new NonReadingClients(address, NON_READING_CLIENTS, UNREAD_REQUEST, Long.MAX_VALUE));
            byte[] ahead = UNREAD_REQUEST.repeat(UNREAD_REQUESTS_AHEAD).getBytes(StandardCharsets.ISO_8859_1);
            crowds.add(new ReconnectingClients(address, RECONNECTING_CLIENTS, ahead, RECONNECTIONS));
        }
        return crowds;
    }

    private static void disconnect(AutoCloseable clients) {
        try {
            clients.close();
        } catch (Exception e) {
            throw new IllegalStateException("clients could not be disconnected", e);
        }
    }

    private static void awaitEnd(ExecutorService injectors) {
        try {
            if (!injectors.awaitTermination(SETTLE_TIMEOUT.toSeconds(), TimeUnit.SECONDS)) {
                logger.atWarning().log("event=fault-still-running");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void injectFaults(SplittableRandom random) {
        long start = System.nanoTime();
        while (!finished && System.nanoTime() - start < seconds * 1e9) {
            Wait.sleep(Duration.ofMillis(random.nextInt(50, 500)));
            Fault fault = KINDS.get(random.nextInt(KINDS.size()));
            ReentrantLock lock = stopsProcess(fault) ? processLock : locks.get(fault);
            if (lock == null || !lock.tryLock()) {
                continue;
            }
            try {
                synchronized (counts) {
                    counts.merge(fault, 1, Integer::sum);
                }
                fault.inject(site, random);
            } catch (RuntimeException e) {
                logger.atSevere().withCause(e).log("event=fault-failed fault=%s", fault);
            } finally {
                lock.unlock();
            }
        }
    }

    /** Returns whether the fault stops or kills a process. Only one such fault runs at a time, beside any others. */
    private static boolean stopsProcess(Fault fault) {
        return switch (fault) {
            case ENDPOINT_CRASH, ENDPOINT_STOP, ENTRY_CRASH, ENTRY_STOP -> true;
            default -> false;
        };
    }

    /** Waits until the site settles and returns the violations that remain. */
    private List<String> settle() {
        List<String> violations = new ArrayList<>();
        check(
                violations,
                "engines hold memory or prefill prompts without a request",
                () -> site.endpoints().stream()
                        .filter(vm -> vm.backend().isEngine())
                        .allMatch(vm -> vm.backend().engine().heldSequences() == 0
                                && vm.backend().engine().pendingPrefills() == 0));
        check(
                violations,
                "an endpoint has queued work or counts free places as occupied",
                () -> site.endpoints().stream()
                        .filter(EndpointVm::running)
                        .allMatch(vm -> vm.daemon().load().free() == vm.places()
                                && vm.daemon().load().queued() == 0));
        check(
                violations,
                "the accepted catalogue is not in force everywhere",
                () -> site.entries().stream()
                        .filter(EntryVm::running)
                        .allMatch(vm -> vm.daemon().catalogueVersion() == versions.highest()));
        return violations;
    }

    private static void check(List<String> violations, String violation, BooleanSupplier holds) {
        try {
            Wait.until(SETTLE_TIMEOUT, violation, holds);
        } catch (IllegalStateException e) {
            violations.add(violation);
        }
    }
}
