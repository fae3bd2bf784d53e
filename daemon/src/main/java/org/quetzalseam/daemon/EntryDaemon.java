package org.quetzalseam.daemon;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.daemon.caller.CallerServer;
import org.quetzalseam.daemon.catalogue.CatalogueStore;
import org.quetzalseam.daemon.catalogue.CatalogueWatch;
import org.quetzalseam.daemon.catalogue.ProposalReview;
import org.quetzalseam.daemon.entry.EntryRouter;
import org.quetzalseam.daemon.entry.EntryStatus;
import org.quetzalseam.daemon.operator.Metrics;
import org.quetzalseam.daemon.operator.OperatorServer;
import org.quetzalseam.daemon.platform.HttpObjectStore;
import org.quetzalseam.daemon.platform.ObjectStore;
import org.quetzalseam.daemon.settings.Settings;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.TimerService;

/**
 * Runs the entry role: holds callers' connections, routes their requests, and answers each of them once. Thread-safe.
 *
 * <p>{@link #stop} is a planned stop: the entry first reports that it is not ready, then lets requests in progress end.
 * {@link #abort} drops everything at once, as a crash would.
 */
public final class EntryDaemon implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int REVIEW_RANK_COUNT = 8;

    /** Interval of the checks for the catalogue and the endpoints at start: a few within the time that a connection takes to open. */
    private static final Duration READINESS_CHECK_INTERVAL = Duration.ofMillis(10);
    /** Longest wait for them: enough for several responses of a slow store; the load balancer sends no callers meanwhile. */
    private static final Duration READINESS_TIMEOUT = Duration.ofMillis(1_500);

    private final Settings settings;
    private final TimerService timers;
    private final CatalogueInForce inForce = new CatalogueInForce();
    private final EntryRouter router;
    private final CallerServer callers;
    private final OperatorServer operators;
    private final List<Service> watches;

    /** Creates an entry with validated settings; {@link #start} starts it. */
    public EntryDaemon(Settings settings) {
        this.settings = settings;
        this.timers = new TimerService(settings.name());
        ObjectStore store = new HttpObjectStore(settings.platformUrl());
        Metrics metrics = new Metrics();
        this.router = new EntryRouter(settings, inForce, store, metrics, timers);
        this.callers = new CallerServer(settings.listen(), inForce, metrics, timers, router);
        this.operators = new OperatorServer(settings.listen(), metrics, new StatusSource());
        CatalogueStore catalogue = new CatalogueStore(store);
        this.watches = List.of(
                new CatalogueWatch(catalogue, inForce, settings.name()),
                new ProposalReview(catalogue, reviewRank(settings.name()), settings.name()));
    }

    private static int reviewRank(String name) {
        return Math.floorMod(name.hashCode(), REVIEW_RANK_COUNT);
    }

    @Override
    public void start() {
        timers.start();
        router.start();
        watches.forEach(Service::start);
        operators.start();
        awaitCatalogueAndEndpoints();
        callers.start();
        logger.atInfo().log(
                "event=started role=entry name=%s zone=%s port=%d operator_port=%d",
                settings.name(), settings.zone(), callers.port(), operators.port());
    }

    /**
     * Waits for the catalogue and for connections to all listed endpoints, because a caller served earlier would get the error that
     * a service or the holder of its key cannot be reached. After {@link #READINESS_TIMEOUT} the entry starts without what is missing.
     */
    private void awaitCatalogueAndEndpoints() {
        CompletableFuture<Void> prepared = new CompletableFuture<>();
        TimerService.Subscription check = timers.every(READINESS_CHECK_INTERVAL, () -> {
            if (hasCatalogueAndEndpoints()) {
                prepared.complete(null);
            }
        });
        try {
            prepared.get(READINESS_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            logger.atWarning().log(
                    "event=started-unprepared catalogue_version=%d endpoints=%d connected=%d",
                    inForce.version(), listedEndpoints(), connectedEndpoints());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException("the readiness future is never completed with a failure", e);
        } finally {
            check.cancel();
        }
    }

    private boolean hasCatalogueAndEndpoints() {
        int listed = listedEndpoints();
        return inForce.version() > 0 && listed > 0 && connectedEndpoints() == listed;
    }

    /** Returns the port for callers. */
    public int port() {
        return callers.port();
    }

    /** Returns whether callers should send requests here: not before it has started, nor once it has been told to stop. */
    public boolean accepting() {
        return callers.accepting();
    }

    /** Returns the operators' port. */
    public int operatorPort() {
        return operators.port();
    }

    /** Returns the version of the catalogue in force. */
    public long catalogueVersion() {
        return inForce.version();
    }

    /** Returns the number of endpoints on the list of VMs that the entry uses. */
    public int listedEndpoints() {
        return router.status().endpoints().size();
    }

    /** Returns the number of endpoints that the entry is connected to. */
    public int connectedEndpoints() {
        return (int) router.status().endpoints().stream()
                .filter(EntryStatus.Peer::connected)
                .count();
    }

    @Override
    public void stop() {
        logger.atInfo().log("event=leaving name=%s", settings.name());
        callers.drain(settings.timing().lameDuck(), settings.timing().drain());
        release();
        logger.atInfo().log("event=stopped role=entry name=%s", settings.name());
    }

    /** Drops everything at once, as a crash would. */
    public void abort() {
        router.stop();
        release();
    }

    private void release() {
        callers.stop();
        watches.forEach(Service::stop);
        router.stop();
        operators.stop();
        timers.stop();
    }

    private final class StatusSource implements OperatorServer.Source {
        @Override
        public boolean ready() {
            return callers.accepting() && inForce.version() > 0;
        }

        @Override
        public Object status() {
            return router.status();
        }

        @Override
        public Optional<Object> explain(String requestId) {
            return router.explain(requestId).map(notes -> notes);
        }
    }
}
