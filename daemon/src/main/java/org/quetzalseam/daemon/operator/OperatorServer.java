package org.quetzalseam.daemon.operator;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.OutputStream;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.http.ExchangeServer;
import org.quetzalseam.daemon.http.ServerExchange;
import org.quetzalseam.daemon.http.ServerLimits;
import org.quetzalseam.daemon.settings.Settings.Listen;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;

/**
 * The operators' HTTP interface of one process: {@code /healthz}, {@code /readyz}, {@code /metrics}, {@code /status} and
 * {@code /explain?request=ID}. Thread-safe.
 */
public final class OperatorServer implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long THREAD_IDLE_SECONDS = 10;
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;
    private static final String EXPLAIN_QUERY = "request=";

    /** Provides the state of a process for the interface. Implementations are thread-safe. */
    public interface Source {
        /** Returns whether the process accepts new work. */
        boolean ready();

        /** Returns the state of the process, to be written as JSON. */
        Object status();

        /** Returns the recorded decisions on a request, to be written as JSON, if the process still has them. */
        Optional<Object> explain(String requestId);
    }

    private final Listen listen;
    private final Metrics metrics;
    private final Source source;
    private final ExecutorService executor;
    private volatile @Nullable ExchangeServer server;

    /** Creates an interface on the operators' port; port 0 selects any free port. */
    public OperatorServer(Listen listen, Metrics metrics, Source source) {
        this.listen = listen;
        this.metrics = metrics;
        this.source = source;
        // Enough for all connections and those that are being closed, because an answer that nobody reads holds a
        // thread.
        this.executor = new ThreadPoolExecutor(
                0,
                2 * listen.operatorConnections(),
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                Threads.named("operator"));
    }

    @Override
    public void start() {
        ExchangeServer created = new ExchangeServer(
                listen.host(),
                listen.operatorPort(),
                executor,
                ServerLimits.ofOperators(listen.operatorConnections(), metrics::limitReached));
        created.handle("/healthz", exchange -> answer(exchange, OK, "text/plain", bytes("ok\n")));
        created.handle("/readyz", this::ready);
        created.handle("/metrics", exchange -> answer(exchange, OK, "text/plain", bytes(metrics.scrape())));
        created.handle("/status", exchange -> answer(exchange, OK, "application/json", Json.write(source.status())));
        created.handle("/explain", this::explain);
        created.start();
        server = created;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        ExchangeServer started = server;
        if (started == null) {
            throw new IllegalStateException("the operators' interface has not been started");
        }
        return started.port();
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private void ready(ServerExchange exchange) throws IOException {
        boolean ready = source.ready();
        answer(exchange, ready ? OK : UNAVAILABLE, "text/plain", bytes(ready ? "ready\n" : "not ready\n"));
    }

    private void explain(ServerExchange exchange) throws IOException {
        String query = Optional.ofNullable(exchange.uri().getRawQuery()).orElse("");
        String id = query.startsWith(EXPLAIN_QUERY)
                ? URLDecoder.decode(query.substring(EXPLAIN_QUERY.length()), StandardCharsets.UTF_8)
                : "";
        Optional<Object> found = source.explain(id);
        if (found.isPresent()) {
            answer(exchange, OK, "application/json", Json.write(found.get()));
        } else {
            answer(exchange, NOT_FOUND, "text/plain", bytes("this process doesn't remember the request\n"));
        }
    }

    private static void answer(ServerExchange exchange, int status, String type, byte[] body) throws IOException {
        exchange.responseHeaders().set("Content-Type", type);
        exchange.begin(status, body.length);
        try (OutputStream out = exchange.responseBody()) {
            out.write(body);
        }
    }

    @Override
    public void stop() {
        ExchangeServer started = server;
        if (started != null) {
            started.stop();
            logger.atFine().log("event=operator-interface-stopped");
        }
        executor.shutdownNow();
    }
}
