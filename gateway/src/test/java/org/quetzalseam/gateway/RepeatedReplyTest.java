package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/**
 * Tests endpoints that send a reply twice, the second time where the next reply on the connection is due. The copy carries the id
 * of its request, so it fits another sending of the same request.
 */
class RepeatedReplyTest {
    private static final int REQUESTS = 20;
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";

    private final TestEntry entry = new TestEntry();
    private final FullEndpoint one = new FullEndpoint("one");
    private final FullEndpoint two = new FullEndpoint("two");
    private final ScriptedEndpoint prefill =
            new ScriptedEndpoint("prefill", (request, connection) -> connection.answer(request, "kv1"));

    /** Rejects each request once, and sends that rejection again before the next reply on its connection. */
    private static final class FullEndpoint {
        private final ScriptedEndpoint endpoint;
        private final Set<String> rejected = ConcurrentHashMap.newKeySet();
        private final Set<String> run = ConcurrentHashMap.newKeySet();
        private final Map<ScriptedEndpoint.Connection, RawRequest> repeated = new ConcurrentHashMap<>();

        FullEndpoint(String id) {
            endpoint = new ScriptedEndpoint(id, this::reply);
        }

        private void reply(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
            if (request.path().startsWith("/control/")) {
                connection.answer(request, "booking");
                return;
            }
            RawRequest earlier = repeated.remove(connection);
            if (earlier != null) {
                connection.reject(earlier);
            }
            if (rejected.add(request.header("x-id"))) {
                repeated.put(connection, request);
                connection.reject(request);
                return;
            }
            run.add(request.header("x-id"));
            if (request.path().startsWith("/once/")) {
                connection.answer(request, "done");
            } else {
                connection.beginStream(request);
                connection.chunk("id: 1\ndata: a\n\n");
                connection.endStream();
            }
        }
    }

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
    }

    @AfterEach
    void stop() {
        entry.close();
        one.endpoint.close();
        two.endpoint.close();
        prefill.close();
    }

    /** Checks that a request which an endpoint runs is served, and never refused as one that has not run. */
    private void assertServed(String path, String... headers) {
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            String answer = entry.ask(path, id, headers);
            int runs = (one.run.contains(id) ? 1 : 0) + (two.run.contains(id) ? 1 : 0);
            assertThat(runs).as("runs of %s, answered %s", id, answer).isEqualTo(1);
            assertThat(answer).as("%s, which has run", id).startsWith("HTTP/1.1 200 OK");
        }
    }

    // Guards against a plain call being refused as not run while the endpoint that rejected it first runs it.
    @Test
    void aRejectionThatComesAgainIsNotTakenForTheReplyToALaterSendingOfTheCall() {
        entry.updateEndpoints(one.endpoint.member("s", Stage.WHOLE), two.endpoint.member("s", Stage.WHOLE));
        assertServed("/once/x");
    }

    // Guards against a stream without booked memory being refused as not run while an engine runs it.
    @Test
    void aRejectionThatComesAgainIsNotTakenForTheReplyToALaterSendingOfAStream() {
        entry.updateEndpoints(one.endpoint.member("s", Stage.DECODE), two.endpoint.member("s", Stage.DECODE));
        assertServed("/stream/x");
    }

    // Guards against a stream with booked memory being refused as not run while the engine that booked it again runs
    // it.
    @Test
    void aRejectionThatComesAgainIsNotTakenForTheReplyToALaterSendingOfABookedStream() {
        entry.updateEndpoints(one.endpoint.member("s", Stage.DECODE), prefill.member("s", Stage.PREFILL));
        assertServed("/stream/x", PROMPT_TOKENS_HEADER);
    }

    // Guards against a caller without an id receiving a repeated reply to another caller's request.
    @Test
    void aRequestWithoutAnIdDoesNotReceiveARepeatedReply() {
        ScriptedEndpoint repeating = one.endpoint;
        Map<ScriptedEndpoint.Connection, RawRequest> before = new ConcurrentHashMap<>();
        repeating.script((request, connection) -> {
            RawRequest earlier = before.put(connection, request);
            if (earlier != null) {
                connection.answer(earlier, "of another");
            }
            connection.answer(request, "own");
        });
        entry.updateEndpoints(repeating.member("s", Stage.WHOLE));
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(entry.ask("/once/x", "r" + i)).endsWith("own");
            try (TestEntry.Caller caller = entry.caller()) {
                caller.write("GET /once/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
                assertThat(caller.readAll()).doesNotContain("of another");
            }
        }
    }
}
