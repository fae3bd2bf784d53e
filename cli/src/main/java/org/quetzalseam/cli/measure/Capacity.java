package org.quetzalseam.cli.measure;

import com.sun.management.OperatingSystemMXBean;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.quetzalseam.cli.load.LoadRun;
import org.quetzalseam.cli.load.PlannedRequest;
import org.quetzalseam.cli.load.Schedule;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.Range;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.catalogue.CatalogueParser;
import org.quetzalseam.core.catalogue.Manifest;
import org.quetzalseam.core.catalogue.Route;
import org.quetzalseam.daemon.settings.Settings.BackendKind;
import org.quetzalseam.wire.MessageCodec;
import org.quetzalseam.wire.message.Heartbeat;
import org.quetzalseam.wire.message.HeartbeatAck;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.message.SiteState;
import org.quetzalseam.wire.message.Vm;

/** Measures the cost of state, messages, links and requests, each at several sizes. For use by a single thread. */
public final class Capacity {
    private static final OperatingSystemMXBean PROCESS =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
    private static final int REPEATS = 20;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int FRAME_HEADER = 4;

    /** Runs all measurements and prints the results. Takes about two minutes. */
    public void run(PrintWriter out) {
        measureCatalogue(out);
        measureMessages(out);
        measureLinks(out);
        measureRequests(out);
        out.flush();
    }

    private static Map<String, String> files(int owners, int entriesPerOwner) {
        Map<String, String> files = new HashMap<>();
        files.put("site.ini", "[model m]\nprefill-pool = p\ndecode-pool = d\n");
        for (int i = 0; i < owners; i++) {
            StringBuilder text = new StringBuilder(
                    "[owner o" + i + "]\ntoken-sha256 = " + String.format(Locale.ROOT, "%064x", i) + "\n");
            for (int j = 0; j < entriesPerOwner; j++) {
                text.append("[entry o")
                        .append(i)
                        .append('-')
                        .append(j)
                        .append("]\nowner = o")
                        .append(i);
                text.append("\nclass = long\nroute = model m\nidempotent = true\nfirst-output-ms = 1300\n");
                text.append("rate-per-second = 50\nconcurrency = 20\nmax-prompt-tokens = 8000\n");
            }
            files.put("o" + i + ".ini", text.toString());
        }
        return files;
    }

    private static void measureCatalogue(PrintWriter out) {
        out.println("catalogue: owners, entries, bytes of text, ms to check, bytes on heap");
        for (int owners : new int[] {50, 150, 350}) {
            Map<String, String> files = files(owners, 8);
            long bytes = files.values().stream().mapToLong(String::length).sum();
            long start = 0;
            List<Object> kept = new ArrayList<>();
            long heap = usedHeap();
            for (int i = 0; i < 2 * REPEATS; i++) {
                if (i == REPEATS) {
                    start = System.nanoTime();
                    kept.clear();
                    heap = usedHeap();
                    start = System.nanoTime();
                }
                kept.add(CatalogueParser.parse(files).catalogue());
            }
            double millis = (System.nanoTime() - start) / NANOS_PER_MILLI / REPEATS;
            long each = (usedHeap() - heap) / kept.size();
            out.printf(Locale.ROOT, "  %d %d %d %.2f %d%n", owners, owners * 8, bytes, millis, each);
            out.flush();
        }
    }

    private static long usedHeap() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 3; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static int size(Message message) {
        return MessageCodec.encode(message).length + FRAME_HEADER;
    }

    private static void measureMessages(PrintWriter out) {
        out.println("heartbeat: attempts held, bytes");
        for (int held : new int[] {0, 10, 100}) {
            List<AttemptId> ids = new ArrayList<>();
            for (int i = 0; i < held; i++) {
                ids.add(new AttemptId(0x123456789abcdefL, 1_000_000 + i, 1));
            }
            out.printf("  %d %d%n", held, size(new Heartbeat(ids, 2_000, 2_000)));
        }
        out.printf(
                "heartbeat answer: bytes%n  %d%n",
                size(new HeartbeatAck(new Load(20, 5, 1_000, 50, 200_000, false), 2_000, 2_000)));
        out.println("site state: VMs, owners, bytes");
        for (int vms : new int[] {100, 300, 1_000}) {
            List<Vm> list = new ArrayList<>();
            for (int i = 0; i < vms; i++) {
                list.add(new Vm(
                        "gutachten-decode-" + i,
                        Role.ENDPOINT,
                        "zone-a",
                        "gutachten-decode",
                        "10.20.30.40",
                        7400,
                        7401,
                        false));
            }
            int owners = vms * 350 / 1_000;
            Map<String, String> files = files(owners, 8);
            out.printf("  %d %d %d%n", vms, owners, size(new SiteState(Manifest.none(), files, 1, list)));
        }
        out.flush();
    }

    private static Deployment withDecoders(int count) {
        Deployment full = Deployment.bundled("landesamt");
        List<Deployment.Pool> pools = full.pools().stream()
                .map(pool -> pool.kind() == BackendKind.DECODE
                        ? new Deployment.Pool(pool.name(), pool.kind(), count)
                        : new Deployment.Pool(pool.name(), pool.kind(), 1))
                .toList();
        return new Deployment("slope", full.zones(), 1, pools, full.traffic(), full.catalogue());
    }

    /**
     * Measures idle links. Both ends of each link are in this process, so a daemon bears about half of the measured
     * cost.
     */
    private static void measureLinks(PrintWriter out) {
        out.println("idle links: endpoints, links, percent of a core for all, threads, bytes on heap");
        for (int decoders : new int[] {2, 10, 30}) {
            Site site = new Site(withDecoders(decoders), SiteOptions.defaults());
            long heap = usedHeap();
            int threads = THREADS.getThreadCount();
            site.start();
            Wait.sleep(Duration.ofSeconds(3));
            long cpu = PROCESS.getProcessCpuTime();
            long start = System.nanoTime();
            Wait.sleep(Duration.ofSeconds(8));
            double share = 100.0 * (PROCESS.getProcessCpuTime() - cpu) / (System.nanoTime() - start);
            out.printf(
                    Locale.ROOT,
                    "  %d %d %.2f %d %d%n",
                    decoders + 2,
                    decoders + 2,
                    share,
                    THREADS.getThreadCount() - threads,
                    usedHeap() - heap);
            out.flush();
            site.stop();
        }
    }

    /**
     * Measures the complete path of requests. Callers, daemons and stand-ins all run in this process, so the result is
     * an upper bound for the daemons.
     */
    private static void measureRequests(PrintWriter out) {
        out.println("requests: kind, a second, outputs each, core-ms a request for everything in the process");
        for (double rate : new double[] {50, 200, 800}) {
            measureCost(out, Route.Kind.SERVICE, rate, 1);
        }
        for (int outputs : new int[] {5, 50, 150}) {
            measureCost(out, Route.Kind.MODEL, 20, outputs);
        }
    }

    private static void measureCost(PrintWriter out, Route.Kind kind, double rate, int outputs) {
        Deployment full = Deployment.bundled("landesamt");
        Traffic like = full.traffic().stream()
                .filter(traffic -> traffic.route().kind() == kind
                        && (kind == Route.Kind.SERVICE
                                ? traffic.method().equals("GET")
                                : traffic.workClass() == WorkClass.SHORT))
                .findFirst()
                .orElseThrow();
        Traffic traffic = new Traffic(
                like.name(),
                like.owners(),
                like.route(),
                like.workClass(),
                rate,
                like.promptTokens(),
                new Range(outputs, outputs),
                like.method(),
                false);
        Site site = new Site(full, SiteOptions.defaults().withSpeed(8));
        site.start();
        try {
            List<PlannedRequest> warm = Schedule.draw(List.of(traffic), 1, 4, 1);
            new LoadRun(site, "warm", 0).run(warm, 1);
            List<PlannedRequest> schedule = Schedule.draw(List.of(traffic), 1, 6, 2);
            long cpu = PROCESS.getProcessCpuTime();
            new LoadRun(site, "cost", 0).run(schedule, 2);
            double millis = (PROCESS.getProcessCpuTime() - cpu) / NANOS_PER_MILLI / schedule.size();
            out.printf(Locale.ROOT, "  %s %.0f %d %.2f%n", kind, rate, outputs, millis);
            out.flush();
        } finally {
            site.stop();
        }
    }
}
