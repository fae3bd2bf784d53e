package org.quetzalseam.cli.measure;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SynchronizedHistogram;
import org.quetzalseam.cli.site.Deployment;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.Site;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Traffic;
import org.quetzalseam.core.catalogue.Route;
import org.quetzalseam.daemon.settings.Settings.BackendKind;

/**
 * Measures the time that the router adds to a short call. Sends calls through an entry and directly to the service in
 * turn, at a fixed rate, each timed from its scheduled start. For use by a single thread.
 */
public final class AddedTime {
    private static final double MICROS_PER_MILLI = 1000;
    private static final long NANOS_PER_MICRO = 1000;
    private static final int THREADS = 64;
    private static final int TAIL = 99;
    private static final int MEDIAN = 50;
    private static final double WARM_UP_SHARE = 0.25;

    private final String deployment;
    private final double perSecond;
    private final double seconds;
    private final HttpClient client = HttpClient.newHttpClient();
    private final Histogram routed = new SynchronizedHistogram(3);
    private final Histogram direct = new SynchronizedHistogram(3);

    /** Creates a measurement with {@code perSecond} calls through the router and as many directly to the service. */
    public AddedTime(String deployment, double perSecond, double seconds) {
        this.deployment = deployment;
        this.perSecond = perSecond;
        this.seconds = seconds;
    }

    /** Runs the measurement, and prints the quantiles of both kinds of calls and their differences. */
    public void run(PrintWriter out) {
        Site site = new Site(Deployment.bundled(deployment), SiteOptions.defaults());
        site.start();
        try {
            send(site);
        } finally {
            site.stop();
        }
        print("direct", direct, out);
        print("routed", routed, out);
        double added = (routed.getValueAtPercentile(TAIL) - direct.getValueAtPercentile(TAIL)) / MICROS_PER_MILLI;
        double median = (routed.getValueAtPercentile(MEDIAN) - direct.getValueAtPercentile(MEDIAN)) / MICROS_PER_MILLI;
        out.printf(Locale.ROOT, "added: p50 %.2f ms, p99 %.2f ms%n", median, added);
        out.flush();
    }

    private static void print(String name, Histogram micros, PrintWriter out) {
        out.printf(
                Locale.ROOT,
                "%-7s n=%d p50 %.2f ms, p99 %.2f ms%n",
                name,
                micros.getTotalCount(),
                micros.getValueAtPercentile(MEDIAN) / MICROS_PER_MILLI,
                micros.getValueAtPercentile(TAIL) / MICROS_PER_MILLI);
    }

    private void send(Site site) {
        Traffic lookups = site.deployment().traffic().stream()
                .filter(kind -> kind.route().kind() == Route.Kind.SERVICE
                        && kind.method().equals("GET"))
                .findFirst()
                .orElseThrow();
        EndpointVm service = site.endpoints().stream()
                .filter(vm -> vm.pool().kind() == BackendKind.SERVICE)
                .findFirst()
                .orElseThrow();
        HttpRequest routedCall = HttpRequest.newBuilder(URI.create(
                        site.entry(0).url() + "/services/" + lookups.route().name() + "/lots/1"))
                .header(
                        "Authorization",
                        "Bearer " + Deployment.token(lookups.owners().get(0)))
                .build();
        HttpRequest directCall = HttpRequest.newBuilder(
                        URI.create(service.backend().service().url() + "/lots/1"))
                .build();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        long start = System.nanoTime();
        int count = (int) (perSecond * seconds);
        for (int i = 0; i < count; i++) {
            long at = start + (long) (i / perSecond * 1e9);
            boolean counted = i > count * WARM_UP_SHARE;
            sleepUntil(at);
            threads.execute(() -> timeCall(routedCall, at, routed, counted));
            threads.execute(() -> timeCall(directCall, at, direct, counted));
        }
        threads.shutdown();
        try {
            if (!threads.awaitTermination(Duration.ofSeconds(10).toSeconds(), TimeUnit.SECONDS)) {
                threads.shutdownNow();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void sleepUntil(long until) {
        long left = until - System.nanoTime();
        while (left > 0) {
            LockSupport.parkNanos(left);
            left = until - System.nanoTime();
        }
    }

    private void timeCall(HttpRequest request, long at, Histogram histogram, boolean counted) {
        try {
            int status = client.send(request, BodyHandlers.discarding()).statusCode();
            if (counted && status == 200) {
                histogram.recordValue((System.nanoTime() - at) / NANOS_PER_MICRO);
            }
        } catch (IOException expected) {
            // Failed calls are not counted; the output shows the counts.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
