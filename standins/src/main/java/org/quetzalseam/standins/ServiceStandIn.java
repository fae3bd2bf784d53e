package org.quetzalseam.standins;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.standins.raw.BrokenAnswers;
import org.quetzalseam.standins.raw.RawConnection;
import org.quetzalseam.standins.raw.RawRequest;
import org.quetzalseam.standins.raw.RawServer;
import org.quetzalseam.standins.raw.RepeatedAnswers;

/**
 * Simulates an HTTP service that counts executions by the business id in the header {@code X-Business-Id}. Instances of
 * the service share one {@link Ledger}, as they would share a database. Thread-safe.
 */
public final class ServiceStandIn {
    /** Counts the executions of all instances of a service. Thread-safe. */
    public static final class Ledger {
        private final Map<String, Integer> executions = new HashMap<>();

        private synchronized int execute(String id) {
            return executions.merge(id, 1, Integer::sum);
        }

        /** Returns the number of executions of an id. */
        public synchronized int count(String id) {
            return executions.getOrDefault(id, 0);
        }

        /** Returns the number of executions of each id. */
        public synchronized Map<String, Integer> counts() {
            return Map.copyOf(executions);
        }
    }

    /** One answer in this many is broken where answers are repeated. */
    private static final int BROKEN_ONE_IN = 20;
    /** Names no call, so that callers find it out if it is passed on. */
    private static final String BROKEN_BODY = "{\"id\":\"broken\",\"execution\":0}";

    private final Ledger ledger;
    private final long callMillis;
    private final AtomicLong calls = new AtomicLong();
    private final Set<Thread> callThreads = ConcurrentHashMap.newKeySet();
    private volatile long extraCallMillis;
    private volatile boolean breaksOff;
    private volatile String crashingId = "";
    private volatile long downMillis;
    private final RestartingServer server;
    private final Optional<RawServer> repeating;

    /**
     * Starts an instance of a service on a free port of the loopback interface.
     *
     * @param ledger executions of all instances
     * @param millis duration of a call, in milliseconds
     * @param repeats whether it sends answers again, whole or cut, before the next answer on their connection, and some that HTTP does
     *     not define
     */
    public ServiceStandIn(Ledger ledger, long millis, boolean repeats) {
        this.ledger = ledger;
        this.callMillis = millis;
        this.server = new RestartingServer(this::handle);
        this.repeating = repeats ? Optional.of(new RawServer(this::handle)) : Optional.empty();
    }

    /** Returns the service's base address. */
    public String url() {
        return repeating.map(raw -> "http://127.0.0.1:" + raw.port()).orElseGet(server::url);
    }

    /** Returns the number of calls received. */
    public long calls() {
        return calls.get();
    }

    /** Makes later calls take longer by a time in milliseconds. */
    public void slow(long addedMillis) {
        extraCallMillis = addedMillis;
    }

    /** Sets whether the service executes calls and then closes the connection without a response. */
    public void breakOff(boolean now) {
        breaksOff = now;
    }

    /**
     * Lets each later call with a business id crash the service: all its connections close, and it starts again at the same
     * address after a time in milliseconds.
     */
    public void crashOn(String id, long restartMillis) {
        downMillis = restartMillis;
        crashingId = id;
    }

    private void handle(HttpExchange exchange) throws IOException {
        int length = exchange.getRequestBody().readAllBytes().length;
        String id = exchange.getRequestHeaders().getFirst("X-Business-Id");
        String path = exchange.getRequestURI().toString();
        String callId = exchange.getRequestHeaders().getFirst("Quetzalseam-Call-Id");
        if (callId != null) {
            exchange.getResponseHeaders().set("Quetzalseam-Call-Id", callId);
        }
        StandInServer.answer(exchange, 200, execute(exchange.getRequestMethod(), path, id, length));
    }

    private void handle(RawRequest request, RawConnection connection) throws IOException {
        RepeatedAnswers.repeat(connection);
        String id = request.headers().get("x-business-id");
        ObjectNode answer =
                execute(request.method(), request.path(), id, request.body().length());
        if (ThreadLocalRandom.current().nextInt(BROKEN_ONE_IN) == 0) {
            String callId = "Quetzalseam-Call-Id: " + request.header("quetzalseam-call-id");
            new BrokenAnswers(BROKEN_BODY, callId, "Content-Type: application/json")
                    .anyBroken()
                    .send(connection);
            return;
        }
        connection.reply(200, answer.toString(), "Content-Type: application/json");
        RepeatedAnswers.repeat(connection);
    }

    private ObjectNode execute(String method, String path, @Nullable String id, int length) throws IOException {
        calls.incrementAndGet();
        int count = id == null ? 1 : ledger.execute(id);
        if (crashingId.equals(id)) {
            server.crash(downMillis);
            Pause.millis(downMillis);
            throw new IOException("crashed on purpose");
        }
        callThreads.add(Thread.currentThread());
        Pause.millis(callMillis + extraCallMillis);
        callThreads.remove(Thread.currentThread());
        if (breaksOff) {
            throw new IOException("broken off on purpose");
        }
        ObjectNode answer = StandInServer.JSON.createObjectNode();
        answer.put("method", method)
                .put("path", path)
                .put("id", id)
                .put("execution", count)
                .put("bytes", length);
        return answer;
    }

    /** Stops the service immediately and interrupts calls in progress. */
    public void stop() {
        callThreads.forEach(Thread::interrupt);
        server.stop();
        repeating.ifPresent(RawServer::close);
    }
}
