package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.BrokenAnswers;
import org.quetzalseam.standins.raw.BrokenAnswers.Answer;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests what callers are told where endpoints send answers that HTTP/1.1 does not define. */
@Timeout(120)
class BrokenAnswerTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    private static final String BODY = "id: 1\ndata: whole\n\n";

    /** Deadline of requests whose endpoint sends bytes without end, in milliseconds. */
    private static final long LONG_DEADLINE_MILLIS = 20_000;
    /** Time by which such a request must have been answered, in milliseconds: far from its deadline. */
    private static final long ANSWERED_MILLIS = 5_000;

    private final TestEntry entry = new TestEntry();
    private final Map<String, Answer> broken = new ConcurrentHashMap<>();
    private final List<ScriptedEndpoint> endpoints = List.of(
            new ScriptedEndpoint("one", this::reply),
            new ScriptedEndpoint("two", this::reply),
            new ScriptedEndpoint("engine-one", this::reply),
            new ScriptedEndpoint("engine-two", this::reply));

    private volatile String endless = "";

    @BeforeEach
    void start() {
        entry.updateRoutes(LONG_DEADLINE_MILLIS, 1_000);
        entry.updateEndpoints(
                endpoints.get(0).member("s", Stage.WHOLE),
                endpoints.get(1).member("s", Stage.WHOLE),
                endpoints.get(2).member("s", Stage.DECODE),
                endpoints.get(3).member("s", Stage.DECODE));
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoints.forEach(ScriptedEndpoint::close);
    }

    private void reply(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        Answer answer = broken.get(request.header("x-id"));
        if (request.path().startsWith("/control/")) {
            connection.answer(request, "booking");
        } else if (!endless.isEmpty()) {
            writeWithoutEnd(connection);
        } else if (answer == null) {
            connection.answer(request, BODY);
        } else {
            connection.write(answer.text());
            if (answer.closes()) {
                connection.finish();
            }
        }
    }

    /** Writes until the entry closes the connection. */
    private void writeWithoutEnd(ScriptedEndpoint.Connection connection) throws IOException {
        String block = endless.repeat(100);
        while (true) {
            connection.write(block);
        }
    }

    private static List<Answer> answers(String id) {
        return new BrokenAnswers(BODY, "x-id: " + id, "x-signature: s", "Content-Type: text/event-stream").broken();
    }

    // Guards against a broken answer being passed on to a caller, or reported as a request that has not run.
    @ParameterizedTest
    @ValueSource(strings = {"/once/", "/many/", "/stream/"})
    void aBrokenAnswerIsAFailureInTheEntrysOwnName(String route) {
        List<String> passedOn = new ArrayList<>();
        int count = answers("r").size();
        for (int i = 0; i < count; i++) {
            String id = "broken" + i;
            Answer answer = answers(id).get(i);
            broken.put(id, answer);
            String told = entry.ask(route + i, id, PROMPT_TOKENS_HEADER);
            // The trailer of a stream arrives after its events, so the stream can only be broken off.
            boolean brokenOff = route.equals("/stream/")
                    && answer.name().endsWith("in a trailer")
                    && told.startsWith("HTTP/1.1 200")
                    && !told.endsWith("0\r\n\r\n");
            boolean ownFailure = told.startsWith("HTTP/1.1 502") && !told.contains("x-signature");
            if (!ownFailure && !brokenOff) {
                passedOn.add(answer + ": " + told);
            }
            String healthy = entry.ask(route + "healthy" + i, "healthy" + i, PROMPT_TOKENS_HEADER);
            assertThat(healthy).startsWith("HTTP/1.1 200").contains("x-signature", "data: whole");
        }
        assertThat(passedOn).isEmpty();
    }

    // Guards against a request that may not be repeated running twice because its answer was broken.
    @Test
    void aRequestThatMayNotBeRepeatedRunsOnceThoughItsAnswerIsBroken() {
        broken.put("only", answers("only").get(0));
        entry.ask("/once/x", "only");
        assertThat(endpoints)
                .flatExtracting(ScriptedEndpoint::runs)
                .filteredOn(request -> request.header("x-id").equals("only"))
                .hasSize(1);
    }

    // Guards against a call that may be repeated being answered with the broken answer's failure though another
    // endpoint serves.
    @Test
    void aRequestThatMayBeRepeatedIsServedByAnotherEndpoint() {
        endpoints
                .get(0)
                .script((request, connection) ->
                        connection.write(answers(request.header("x-id")).get(0).text()));
        for (int i = 0; i < 20; i++) {
            assertThat(entry.ask("/many/" + i, "r" + i))
                    .startsWith("HTTP/1.1 200")
                    .contains("data: whole");
        }
        assertThat(endpoints.get(0).runs()).isNotEmpty();
    }

    // Guards against a caller waiting for its deadline while the entry reads bytes that are no answer.
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n"})
    void bytesThatAreNoAnswerAreNotReadUntilTheDeadline(String bytes) {
        endless = bytes;
        for (String route : List.of("/once/", "/many/", "/stream/")) {
            long start = System.nanoTime();
            String patience = "x-patience: " + LONG_DEADLINE_MILLIS;
            assertThat(entry.ask(route + "x", "endless" + route.length(), PROMPT_TOKENS_HEADER, patience))
                    .startsWith("HTTP/1.1 502");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start))
                    .as(route)
                    .isLessThan(ANSWERED_MILLIS);
        }
    }

    // Guards against a stream of whole events that never ends keeping an engine and a caller beyond its deadline.
    @Test
    void aStreamOfEventsWithoutEndIsBrokenOffAtItsDeadline() throws Exception {
        long deadlineMillis = 2_000;
        CompletableFuture<Long> closedAfter = new CompletableFuture<>();
        endpoints.forEach(endpoint -> endpoint.script((request, connection) -> {
            if (request.path().startsWith("/control/")) {
                connection.answer(request, "booking");
                return;
            }
            long start = System.nanoTime();
            try {
                connection.beginStream(request);
                for (long number = 1; true; number++) {
                    connection.chunk(("id: " + number + "\ndata: " + "x".repeat(500) + "\n\n").repeat(20));
                }
            } finally {
                closedAfter.complete(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
            }
        }));
        try (TestEntry.Caller caller = entry.caller()) {
            caller.send("/stream/x", "endless", PROMPT_TOKENS_HEADER, "x-patience: " + deadlineMillis);
            assertThat(caller.readToEnd()).isGreaterThan(100_000);
        }
        assertThat(closedAfter.get(ANSWERED_MILLIS, TimeUnit.MILLISECONDS)).isLessThan(deadlineMillis + 1_000);
    }
}
