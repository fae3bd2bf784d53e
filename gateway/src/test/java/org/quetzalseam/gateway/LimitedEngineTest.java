package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.entry.EntryList;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests generations whose prefill and decode engines state how many requests of any kind they take a second. */
class LimitedEngineTest {
    private static final double LIMIT = 6;
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(4);
    /** Requests that the limit allows in a window: one and a half times as many, and 5. */
    private static final int ALLOWED = (int) (LIMIT * 4 * 1.5 + 5);

    private static final long RUN_MILLIS = 9_000;
    private static final int CALLERS = 8;
    /** Part of the limit that generations must make use of, each of which takes a booking and a run. */
    private static final double USED_SHARE = 0.7;

    private final TestEntry entry = new TestEntry();
    private final Engine decode = new Engine("decode");
    private final Engine prefill = new Engine("prefill");
    private final List<String> answers = new CopyOnWriteArrayList<>();

    /** An engine that states a limit in each answer, and records when requests of any kind arrive. */
    private static final class Engine {
        private final ScriptedEndpoint endpoint;
        private final List<Long> arrivals = new CopyOnWriteArrayList<>();
        private volatile boolean limited = true;

        Engine(String id) {
            endpoint = new ScriptedEndpoint(id, this::reply);
        }

        private void reply(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
            arrivals.add(System.nanoTime());
            String limit = limited ? "\r\nx-limit: " + LIMIT : "";
            if (request.path().startsWith("/control/")) {
                connection.write("HTTP/1.1 200 OK" + limit + "\r\nContent-Length: 2\r\n\r\nb1");
                return;
            }
            String head = "HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id") + "\r\nx-signature: s" + limit;
            if (request.headers().containsKey("x-prefill")) {
                connection.write(head + "\r\nContent-Length: 2\r\n\r\nk1");
                return;
            }
            connection.write(head + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            connection.chunk("id: 1\ndata: a\n\n");
            connection.endStream();
        }

        private int mostInWindow() {
            int most = 0;
            int first = 0;
            for (int last = 0; last < arrivals.size(); last++) {
                while (arrivals.get(last) - arrivals.get(first) > WINDOW_NANOS) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }
    }

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
        entry.process()
                .timers()
                .soon(() -> entry.process().siteEntries().listed(new EntryList(1, Map.of(), 5_000, System.nanoTime())));
    }

    @AfterEach
    void stop() {
        entry.close();
        decode.endpoint.close();
        prefill.endpoint.close();
    }

    private void call(String name) {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RUN_MILLIS);
        for (int i = 0; System.nanoTime() < until; i++) {
            answers.add(entry.ask("/stream/x", name + "-" + i, "x-tokens: 100"));
        }
    }

    private void callFromMany() throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLERS; i++) {
            String name = "r" + i;
            Thread caller = new Thread(() -> call(name));
            caller.start();
            callers.add(caller);
        }
        for (Thread caller : callers) {
            caller.join();
        }
    }

    private long served() {
        return answers.stream().filter(answer -> answer.contains("data: a")).count();
    }

    // Guards against bookings, checks, releases and prefills that come on top of what the limit allows.
    @Test
    void requestsOfAllKindsTogetherRespectTheLimitsOfEngines() throws InterruptedException {
        entry.updateEndpoints(decode.endpoint.member("s", Stage.DECODE), prefill.endpoint.member("s", Stage.PREFILL));
        callFromMany();
        assertThat(decode.mostInWindow()).as("requests at the decode engine").isLessThanOrEqualTo(ALLOWED);
        assertThat(prefill.mostInWindow()).as("requests at the prefill engine").isLessThanOrEqualTo(ALLOWED);
        assertThat(served()).as("streams served").isGreaterThan((long) (RUN_MILLIS / 1e3 * LIMIT / 2 * USED_SHARE));
        assertThat(answers)
                .allMatch(answer ->
                        answer.contains("data: a") || (answer.contains("503") && answer.contains("x-come-back")));
    }

    // Guards against an engine that gets no request any more, so that nobody learns that it states no limit now.
    @Test
    void anEngineThatStatesNoLimitAnyMoreGetsItsUsualWorkAgainThoughOthersHaveRoom() throws InterruptedException {
        Engine other = new Engine("other");
        other.limited = false;
        entry.updateEndpoints(
                decode.endpoint.member("s", Stage.DECODE),
                other.endpoint.member("s", Stage.DECODE),
                prefill.endpoint.member("s", Stage.PREFILL));
        Thread lifting = new Thread(() -> {
            try {
                TimeUnit.MILLISECONDS.sleep(RUN_MILLIS / 3);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            decode.limited = false;
            prefill.limited = false;
        });
        lifting.start();
        callFromMany();
        long from = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(RUN_MILLIS / 4);
        long recent = decode.arrivals.stream().filter(at -> at - from > 0).count();
        long others = other.arrivals.stream().filter(at -> at - from > 0).count();
        assertThat(recent).as("requests, of %s at the other engine", others).isGreaterThan(others / 3);
        other.endpoint.close();
    }

    // Guards against a limit that a process stated before it ended being held against the next one under its id.
    @Test
    void anEndpointThatStartsAgainUnderItsIdBeginsWithoutALimit() {
        entry.updateEndpoints(decode.endpoint.member("s", Stage.WHOLE, 1_000));
        entry.ask("/once/x", "r1");
        assertThat(limitedEndpoints()).isEqualTo(1);
        entry.updateEndpoints(decode.endpoint.member("s", Stage.WHOLE, 2_000));
        assertThat(limitedEndpoints()).isZero();
    }

    private long limitedEndpoints() {
        CompletableFuture<Long> limited = new CompletableFuture<>();
        entry.process()
                .timers()
                .soon(() -> limited.complete(entry.process().directory().limitedEndpoints()));
        return limited.join();
    }

    // Guards against generations that wait for a limited engine though another one has room.
    @Test
    void generationsGoToTheEngineThatStatesNoLimit() throws InterruptedException {
        ScriptedEndpoint unlimited = new ScriptedEndpoint("unlimited", (request, connection) -> {
            if (request.path().startsWith("/control/")) {
                connection.answer(request, "b2");
            } else {
                connection.beginStream(request);
                connection.chunk("id: 1\ndata: a\n\n");
                connection.endStream();
            }
        });
        entry.updateEndpoints(decode.endpoint.member("s", Stage.DECODE), unlimited.member("s", Stage.DECODE));
        callFromMany();
        unlimited.close();
        assertThat(decode.mostInWindow()).as("requests at the limited engine").isLessThanOrEqualTo(ALLOWED);
        assertThat(answers).allMatch(answer -> answer.contains("data: a"));
    }
}
