package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/**
 * Tests requests that reach an entry late in its grace period, and whose work lasts longer than that of the requests before them.
 *
 * <p>Guards against an entry that takes what it expects to be quick until its last moment, and cuts what is not: of 100 calls that
 * came from 1 s before the signal to 9 s after it, and of which two in five lasted 6 s, eight that came later than 3 s after the signal were
 * told 502 at the end of a grace period of 8 s.
 */
@Timeout(60)
class LateRequestTest {
    private static final int LEARNT_REQUESTS = 30;
    private static final long LEARNT_MILLIS = 20;
    /** How long two of five late requests last, in milliseconds: beyond the end of the grace period. */
    private static final long UNEXPECTED_MILLIS = 5_000;

    private static final long GRACE_MILLIS = 6_000;
    /** How long after the signal a request is late, in milliseconds: what was sent before may be cut at the end. */
    private static final long LATE_MILLIS = 3_000;

    private static final String LONG_PATIENCE = "x-patience: 20000";
    private static final String SHORT_PATIENCE = "x-patience: 500";
    private static final String PROMPT_TOKENS = "x-tokens: 1000";

    private final TestEntry entry = new TestEntry();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScriptedEndpoint engine = new ScriptedEndpoint("engine", this::reply);
    private final ScriptedEndpoint service = new ScriptedEndpoint("service", this::reply);

    @BeforeEach
    void start() {
        entry.updateRoutes(20_000, 1_000);
        entry.updateEndpoints(engine.member("s", Stage.DECODE), service.member("s", Stage.WHOLE));
    }

    @AfterEach
    void stop() {
        entry.close();
        engine.close();
        service.close();
        threads.shutdownNow();
    }

    private void reply(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/")) {
            connection.answer(request, "booking");
            return;
        }
        long millis = request.path().endsWith("/long") ? UNEXPECTED_MILLIS : LEARNT_MILLIS;
        if (request.header("x-tokens").isEmpty()) {
            sleep(millis);
            connection.answer(request, "whole");
            return;
        }
        connection.beginStream(request);
        connection.chunk("id: 1\ndata: a\n\n");
        sleep(millis);
        connection.chunk("id: 2\ndata: whole\n\n");
        connection.endStream();
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static long elapsedMillis(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    private CompletableFuture<Void> shutDown() {
        return CompletableFuture.runAsync(
                () -> {
                    entry.process().drain(GRACE_MILLIS);
                    entry.process().stop();
                },
                threads);
    }

    private String[] headers(String route, String patience) {
        return route.equals("/stream/") ? new String[] {patience, PROMPT_TOKENS} : new String[] {patience};
    }

    private void learn(String route) {
        for (int i = 0; i < LEARNT_REQUESTS; i++) {
            assertThat(entry.ask(route + "quick", "learnt" + i, headers(route, LONG_PATIENCE)))
                    .contains("whole");
        }
    }

    /** Returns an empty answer if the entry has ended, or ends before it has read the request. */
    private String askOrEmpty(String path, String id, String... headers) {
        try {
            return entry.ask(path, id, headers);
        } catch (IllegalStateException closed) {
            return "";
        }
    }

    private boolean hasRun(String id) {
        return engine.runs().stream().anyMatch(request -> request.header("x-id").equals(id))
                || service.runs().stream()
                        .anyMatch(request -> request.header("x-id").equals(id));
    }

    /** Returns what is wrong with the end of a late request, or an empty text: it must be whole, refused, or not read. */
    private String judge(String id, String answer) {
        if (answer.contains("whole")) {
            return "";
        }
        boolean refused = answer.startsWith("HTTP/1.1 503") && answer.contains("x-come-back: ");
        boolean unread = answer.isEmpty() || answer.equals(" [reset]");
        if ((refused || unread) && !hasRun(id)) {
            return "";
        }
        return id + (hasRun(id) ? " ran: " : ": ") + answer;
    }

    // Guards against a request being passed on later than 3 s after the signal and cut at the end of the grace period.
    @ParameterizedTest
    @ValueSource(strings = {"/once/", "/many/", "/stream/"})
    void aLateRequestThatLastsLongerThanLearntIsWholeOrRefusedAtOnce(String route) {
        learn(route);
        List<CompletableFuture<String>> ends = new ArrayList<>();
        List<TestEntry.Caller> open = openConnections(route);
        long signalNanos = System.nanoTime();
        CompletableFuture<Void> shutdown = shutDown();
        for (int round = 0; !shutdown.isDone(); round++) {
            // The entry stays, as it ends early where it has accepted nothing for a second.
            String kept = "kept" + round;
            threads.execute(() -> askOrEmpty("/once/quick", kept, SHORT_PATIENCE));
            sleep(50);
            if (elapsedMillis(signalNanos) < LATE_MILLIS) {
                continue;
            }
            String id = "late" + ends.size();
            String path = route + (ends.size() % 5 < 2 ? "long" : "quick");
            if (!open.isEmpty()) {
                String begun = open.size() % 2 == 0 ? "P" : "";
                TestEntry.Caller caller = open.remove(0);
                ends.add(CompletableFuture.supplyAsync(
                        () -> judge(id, endOnOpenConnection(caller, begun, path, id, headers(route, LONG_PATIENCE))),
                        threads));
            }
            String fresh = "new" + ends.size();
            ends.add(CompletableFuture.supplyAsync(
                    () -> judge(fresh, askOrEmpty(path, fresh, headers(route, LONG_PATIENCE))), threads));
        }
        assertThat(ends).as("late requests").hasSizeGreaterThan(20);
        assertThat(ends.stream().map(CompletableFuture::join).filter(end -> !end.isEmpty()))
                .isEmpty();
    }

    /** Opens connections, some of which stay in use until late because a request on them has been sent in part. */
    private List<TestEntry.Caller> openConnections(String route) {
        List<TestEntry.Caller> callers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            TestEntry.Caller caller = entry.caller();
            caller.send(route + "quick", "warm" + i, headers(route, LONG_PATIENCE));
            assertThat(caller.readUntil(route.equals("/stream/") ? "0\r\n\r\n" : "whole"))
                    .contains("whole");
            if (i % 2 == 0) {
                caller.write("P");
            }
            callers.add(caller);
        }
        return callers;
    }

    private static String endOnOpenConnection(
            TestEntry.Caller caller, String begun, String path, String id, String... headers) {
        try (caller) {
            caller.write("POST ".substring(begun.length()) + path + " HTTP/1.1\r\nHost: h\r\nx-id: " + id + "\r\n"
                    + String.join("\r\n", headers) + "\r\nContent-Length: 2\r\nConnection: close\r\n\r\nhi");
            return caller.readAll();
        } catch (IllegalStateException closed) {
            return "";
        }
    }

    // Guards against an entry that refuses all late requests, also those that end in time by their deadline, though
    // nobody else may serve them.
    @Test
    void aLateRequestWhoseDeadlineIsBeforeTheEndIsServed() {
        learn("/once/");
        long signalNanos = System.nanoTime();
        CompletableFuture<Void> shutdown = shutDown();
        for (int i = 0; elapsedMillis(signalNanos) < LATE_MILLIS + 1_000; i++) {
            assertThat(entry.ask("/once/quick", "short" + i, SHORT_PATIENCE)).contains("whole");
            sleep(100);
        }
        assertThat(entry.ask("/once/long", "outlasts", SHORT_PATIENCE))
                .as("its deadline passes here, before the entry ends")
                .startsWith("HTTP/1.1 504");
        shutdown.join();
    }

    // Guards against refusing what came before the balancer could notice, while other callers' requests of the kind end
    // in time.
    @Test
    void anEarlyRequestThatIsExpectedToEndInTimeIsServedWhateverItsDeadline() {
        learn("/once/");
        CompletableFuture<Void> shutdown = shutDown();
        for (int i = 0; i < 20; i++) {
            assertThat(entry.ask("/once/quick", "early" + i, LONG_PATIENCE)).contains("whole");
            sleep(50);
        }
        shutdown.join();
    }
}
