package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.quetzalseam.wire.message.LostRequest;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Work;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;
import org.quetzalseam.wire.runtime.ThrownErrors;

/**
 * Finds out when the back end of this endpoint crashes, and reports the requests that were lost in the crash. Thread-safe.
 *
 * <p>A request whose connection breaks is lost in a crash if the back end then refuses a new connection. Requests sent before
 * that was known share one crash; a request that reached the back end afterwards and is lost shows another one.
 */
final class BackendCrashes implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    /** How long a lost request is reported to entries that connect. */
    private static final Duration KEEP = Duration.ofHours(1);

    private static final int HTTP_PORT = 80;
    private static final int HTTPS_PORT = 443;
    /** Maximum number of lost requests that are remembered; the oldest are forgotten first. */
    static final int MAX_LOST = 256;

    private final String name;
    private final String host;
    private final int port;
    private final Consumer<List<LostRequest>> report;
    private final LongSupplier clock;
    private final ProbeGate probes = new ProbeGate();
    private final ExecutorService checks;
    private final Deque<Reported> reported = new ArrayDeque<>();
    private List<Suspected> unchecked = new ArrayList<>();
    private long crashes;
    private long crashKnownAt;

    /** A request whose connection broke. */
    private record Suspected(String request, long sentAt) {}

    private record Reported(LostRequest lost, long at) {}

    /**
     * Creates a watch of a back end.
     *
     * @param name name that the crashes of this process's back end begin with, different for each process
     * @param url the back end's address
     * @param report called with the requests lost in a crash
     * @param clock monotonic nanoseconds
     */
    BackendCrashes(String name, String url, Consumer<List<LostRequest>> report, LongSupplier clock) {
        URI base = URI.create(url);
        this.name = name;
        this.host = base.getHost();
        this.port = port(base);
        this.report = report;
        this.clock = clock;
        this.checks = Executors.newSingleThreadExecutor(Threads.named(name + "-crash-check"));
    }

    private static int port(URI base) {
        if (base.getPort() >= 0) {
            return base.getPort();
        }
        return "https".equals(base.getScheme()) ? HTTPS_PORT : HTTP_PORT;
    }

    @Override
    public void start() {
        // The executor starts its thread with the first check.
    }

    @Override
    public void stop() {
        checks.shutdownNow();
    }

    long now() {
        return clock.getAsLong();
    }

    /** Refuses a job if its request has crashed back ends and may not be probed now. Returns whether it did. */
    boolean refuses(Admission admission, Job job, Work work) {
        return work.isProbe() && refuses(admission, job, work.probe(), probes.check(work.probe(), now()));
    }

    /** Does what {@link #refuses} does for a job that is about to run; if it isn't refused, it counts as a probe. */
    boolean refusesToRun(Admission admission, Job job, Work work) {
        if (!work.isProbe()) {
            return false;
        }
        boolean refused = refuses(admission, job, work.probe(), probes.take(work.probe(), now()));
        if (!refused) {
            logger.atInfo().log("event=request-probed attempt=%s fingerprint=%s", job.id(), work.probe());
        }
        return refused;
    }

    private boolean refuses(Admission admission, Job job, String request, OptionalLong waitNanos) {
        if (waitNanos.isEmpty()) {
            return false;
        }
        long retryMillis = Math.max(1, Duration.ofNanos(waitNanos.getAsLong()).toMillis());
        logger.atInfo().log(
                "event=probe-refused attempt=%s fingerprint=%s retry_after_ms=%d", job.id(), request, retryMillis);
        admission.refuse(job, RefusalReason.QUARANTINED, retryMillis);
        return true;
    }

    /** Records that the back end has run a request to its end. */
    void recordEnded(Supplier<String> fingerprint) {
        probes.recordEnded(fingerprint);
    }

    /** Records that a request could not be sent. */
    void recordNotSent(Work work) {
        if (work.isProbe()) {
            probes.giveBack(work.probe(), now());
        }
    }

    /**
     * Records that the connection broke on which a request was sent. Whether the back end has crashed is found out in the
     * background.
     */
    void recordLost(String request, long sentAt) {
        boolean first;
        synchronized (this) {
            first = unchecked.isEmpty();
            unchecked.add(new Suspected(request, sentAt));
        }
        if (first) {
            try {
                checks.execute(this::checkOrForget);
            } catch (RejectedExecutionException stopping) {
                logger.atFine().log("event=crash-not-checked name=%s", name);
            }
        }
    }

    /** Checks, or forgets what there is to check if that fails: the next lost request would begin no check otherwise. */
    private void checkOrForget() {
        try {
            check();
        } catch (Throwable e) {
            ThrownErrors.record("crash-check", e);
            synchronized (this) {
                unchecked = new ArrayList<>();
            }
        }
    }

    private void check() {
        boolean crashed = !connects();
        List<LostRequest> lost = new ArrayList<>();
        synchronized (this) {
            List<Suspected> checked = unchecked;
            unchecked = new ArrayList<>();
            if (!crashed) {
                return;
            }
            long now = now();
            if (crashes == 0 || checked.stream().anyMatch(request -> request.sentAt() - crashKnownAt > 0)) {
                crashes++;
            }
            crashKnownAt = now;
            for (Suspected request : checked) {
                LostRequest found = new LostRequest(request.request(), name + "#" + crashes);
                if (!lost.contains(found)) {
                    lost.add(found);
                    reported.addLast(new Reported(found, now));
                    probes.recordLost(found.request());
                }
            }
            while (reported.size() > MAX_LOST) {
                reported.removeFirst();
            }
        }
        logger.atWarning().log("event=backend-crashed crash=%s#%d lost=%s", name, crashes, lost);
        report.accept(lost);
    }

    private boolean connects() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, port), (int) CONNECT_TIMEOUT.toMillis());
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Returns the lost requests that an entry has to know which connects now. */
    synchronized List<LostRequest> recentlyLost() {
        long now = now();
        reported.removeIf(known -> now - known.at() > KEEP.toNanos());
        return reported.stream().map(Reported::lost).toList();
    }
}
