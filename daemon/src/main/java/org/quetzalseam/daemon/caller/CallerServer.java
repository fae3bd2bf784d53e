package org.quetzalseam.daemon.caller;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.catalogue.CatalogueInForce;
import org.quetzalseam.core.limits.EntryLimiter;
import org.quetzalseam.daemon.entry.EntryRouter;
import org.quetzalseam.daemon.entry.RequestId;
import org.quetzalseam.daemon.http.ExchangeServer;
import org.quetzalseam.daemon.http.ServerExchange;
import org.quetzalseam.daemon.http.ServerLimits;
import org.quetzalseam.daemon.operator.Metrics;
import org.quetzalseam.daemon.settings.Settings.Listen;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;
import org.quetzalseam.wire.runtime.TimerService;

/**
 * The callers' HTTP interface of an entry: completions, the list of models, and plain services. Each request has a thread
 * of its own until it is answered. Thread-safe.
 */
public final class CallerServer implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int MAX_THREADS = 4_000;
    private static final long THREAD_IDLE_SECONDS = 10;
    /** Part of the time of a planned stop that is left for writing answers. */
    private static final Duration FINAL_WRITE = Duration.ofMillis(100);

    /** Handles one kind of request. */
    @FunctionalInterface
    interface Handler {
        /** Answers a request, or throws the error for the caller. */
        void handle(ServerExchange exchange, RequestId id) throws IOException;
    }

    private final EntryRouter router;
    private final ExchangeServer server;
    private final ExecutorService executor;
    private final Object lock = new Object();
    private boolean ready;
    /** When a planned stop cuts what is in progress; of meaning once it has begun. */
    private long endsAtNanos;

    private boolean closed;
    private int inFlight;

    /** Creates a server that listens on the given address, but answers only after {@link #start}. */
    public CallerServer(
            Listen listen, CatalogueInForce inForce, Metrics metrics, TimerService timers, EntryRouter router) {
        this.router = router;
        this.executor = new ThreadPoolExecutor(
                0,
                MAX_THREADS,
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                Threads.named("caller"));
        this.server = new ExchangeServer(
                listen.host(),
                listen.port(),
                executor,
                ServerLimits.ofCallers(listen.connections(), metrics::limitReached));
        RequestAdmission admittance =
                new RequestAdmission(inForce, new EntryLimiter(), router, metrics, this::endsInTime);
        BodyReader bodies = new BodyReader(timers);
        CompletionHandler completions = new CompletionHandler(admittance, bodies, router, metrics);
        ServiceHandler services = new ServiceHandler(admittance, bodies, router, metrics);
        ModelsHandler models = new ModelsHandler(admittance);
        context("/v1/completions", exact("/v1/completions", completions::plain));
        context("/v1/chat/completions", exact("/v1/chat/completions", completions::chat));
        context("/v1/models", exact("/v1/models", models::list));
        context("/services/", services::call);
        context("/", CallerServer::noSuchPath);
    }

    private void context(String path, Handler handler) {
        server.handle(path, exchange -> serve(exchange, handler));
    }

    private static Handler exact(String path, Handler handler) {
        return (exchange, id) -> {
            if (!exchange.uri().getPath().equals(path)) {
                noSuchPath(exchange, id);
            }
            handler.handle(exchange, id);
        };
    }

    private static void noSuchPath(ServerExchange exchange, RequestId id) {
        throw CallerException.notRetryable(Statuses.NOT_FOUND, "no-such-path", "there is nothing at this path");
    }

    @Override
    public void start() {
        synchronized (lock) {
            ready = true;
        }
        server.start();
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return server.port();
    }

    /** Returns whether callers should send requests here. */
    public boolean accepting() {
        synchronized (lock) {
            return ready;
        }
    }

    private void serve(ServerExchange exchange, Handler handler) {
        RequestId id = router.nextRequestId();
        try (ErrorReply errors = new ErrorReply(exchange, id)) {
            if (!beginRequest()) {
                CallerException stopping = RequestAdmission.stopping("this entry is stopping");
                boolean keyed = header(exchange, "Idempotency-Key") != null;
                errors.send(keyed ? stopping.forKeyedRequest() : stopping);
                return;
            }
            try {
                handler.handle(exchange, id);
            } catch (CallerException e) {
                errors.send(e);
            } catch (IOException e) {
                logger.atFine().log("event=caller-lost request=%s reason=\"%s\"", id, e.getMessage());
            } catch (RuntimeException e) {
                logger.atSevere().withCause(e).log("event=request-failed request=%s", id);
                errors.internal();
            } finally {
                endRequest();
            }
        }
    }

    private boolean beginRequest() {
        synchronized (lock) {
            if (closed) {
                return false;
            }
            inFlight++;
            return true;
        }
    }

    private void endRequest() {
        synchronized (lock) {
            inFlight--;
            lock.notifyAll();
        }
    }

    /** Returns whether a request that begins now and ends within a time in milliseconds does so before a planned stop cuts it. */
    private boolean endsInTime(long millis) {
        synchronized (lock) {
            return ready || System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis) <= endsAtNanos;
        }
    }

    /**
     * Drains the server for a planned stop. Reports that it is not ready, still accepts requests for {@code lameDuck} so that load
     * balancers can notice, then refuses new requests as not run. Returns when the requests in progress have ended, at the
     * latest after {@code limit}.
     */
    public void drain(Duration lameDuck, Duration limit) {
        long deadlineNanos = System.nanoTime() + lameDuck.toNanos();
        synchronized (lock) {
            ready = false;
            endsAtNanos = deadlineNanos + limit.toNanos() - FINAL_WRITE.toNanos();
            await(deadlineNanos, false);
            closed = true;
            deadlineNanos = System.nanoTime() + limit.toNanos();
            await(deadlineNanos, true);
            if (inFlight > 0) {
                logger.atWarning().log("event=drain-incomplete left=%d", inFlight);
            }
        }
    }

    private void await(long deadlineNanos, boolean untilIdle) {
        long remainingNanos = deadlineNanos - System.nanoTime();
        while (remainingNanos > 0 && !(untilIdle && inFlight == 0)) {
            try {
                TimeUnit.NANOSECONDS.timedWait(lock, remainingNanos);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            remainingNanos = deadlineNanos - System.nanoTime();
        }
    }

    @Override
    public void stop() {
        synchronized (lock) {
            ready = false;
            closed = true;
        }
        server.stop();
        executor.shutdownNow();
    }

    static @Nullable String header(ServerExchange exchange, String name) {
        return exchange.requestHeaders().get(name);
    }
}
