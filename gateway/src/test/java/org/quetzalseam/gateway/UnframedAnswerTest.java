package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests answers that state neither a length nor chunks, and end with their connection. */
class UnframedAnswerTest {
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";
    private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
    private static final String SECOND_EVENT = "id: 2\ndata: b\n\n";

    private final TestEntry entry = new TestEntry();
    private final AtomicInteger attempts = new AtomicInteger();
    private ScriptedEndpoint endpoint = new ScriptedEndpoint("endpoint", (request, connection) -> {});

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    private void use(Stage stage, ScriptedEndpoint.Script script) {
        endpoint.close();
        endpoint = new ScriptedEndpoint("endpoint", (request, connection) -> {
            attempts.incrementAndGet();
            script.reply(request, connection);
        });
        entry.updateEndpoints(endpoint.member("s", stage));
    }

    private static void begin(RawRequest request, ScriptedEndpoint.Connection connection, String type)
            throws IOException {
        connection.write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id") + "\r\nx-signature: s\r\nContent-Type: "
                + type + "\r\n\r\n");
    }

    private static void beginStream(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        begin(request, connection, "text/event-stream");
    }

    @Test
    void aStreamThatEndsAfterAnEventIsDeliveredWhole() {
        use(Stage.DECODE, (request, connection) -> {
            beginStream(request, connection);
            connection.write(FIRST_EVENT + SECOND_EVENT);
            connection.finish();
        });
        assertThat(entry.ask("/stream/x", "r1"))
                .startsWith("HTTP/1.1 200")
                .contains("data: a", "data: b")
                .endsWith(LAST_CHUNK);
    }

    // Guards against a stream that was broken off inside an event looking complete to its caller.
    @ParameterizedTest
    @ValueSource(
            strings = {
                "id: 2",
                "id: 2\n",
                "id: 2\ndata: b",
                "id: 2\ndata: b\n",
                "id: 2\r\ndata: b\r\n\r",
                "data: \u00e4"
            })
    void aStreamThatEndsInsideAnEventDoesNotLookComplete(String cut) {
        use(Stage.DECODE, (request, connection) -> {
            beginStream(request, connection);
            connection.write(FIRST_EVENT + cut);
            connection.finish();
        });
        assertThat(entry.ask("/stream/x", "r1"))
                .startsWith("HTTP/1.1 200")
                .contains("data: a")
                .doesNotContain("id: 2")
                .doesNotEndWith(LAST_CHUNK);
        assertThat(attempts).hasValue(1);
    }

    // Guards against a stream that was broken off inside an event ending there, though its route allows it to go on.
    @Test
    void aResumableStreamThatEndsInsideAnEventGoesOn() {
        use(Stage.DECODE, (request, connection) -> {
            beginStream(request, connection);
            boolean resumed = request.header("x-resume").equals("1");
            connection.write(resumed ? SECOND_EVENT : FIRST_EVENT + "id: 2\ndata:");
            connection.finish();
        });
        assertThat(entry.ask("/resumable/x", "r1"))
                .contains(FIRST_EVENT, "data: b")
                .endsWith(LAST_CHUNK);
        assertThat(attempts).hasValue(2);
    }

    // Guards against a stream whose engine ended before it wrote anything looking like a complete, empty one.
    @Test
    void aStreamThatEndsBeforeItsFirstEventDoesNotLookComplete() {
        use(Stage.DECODE, (request, connection) -> {
            beginStream(request, connection);
            connection.finish();
        });
        assertThat(entry.ask("/stream/x", "r1")).doesNotEndWith(LAST_CHUNK);
    }

    @Test
    void aStreamThatIsResetDoesNotLookComplete() {
        use(Stage.DECODE, (request, connection) -> {
            beginStream(request, connection);
            connection.write(FIRST_EVENT);
            connection.reset();
        });
        assertThat(entry.ask("/stream/x", "r1")).doesNotEndWith(LAST_CHUNK);
    }

    @Test
    void aPlainAnswerThatEndsWithItsConnectionIsDeliveredWhole() {
        use(Stage.WHOLE, (request, connection) -> {
            begin(request, connection, "text/plain");
            connection.write("all of it");
            connection.finish();
        });
        assertThat(entry.ask("/once/x", "r1"))
                .startsWith("HTTP/1.1 200")
                .contains("content-length: 9")
                .endsWith("all of it");
        assertThat(attempts).hasValue(1);
    }

    // Guards against a plain answer whose connection was reset being taken for complete, or its call being repeated.
    @Test
    void aPlainAnswerThatIsResetIsAFailureOfUnknownOutcome() {
        use(Stage.WHOLE, (request, connection) -> {
            begin(request, connection, "text/plain");
            connection.write("a part");
            connection.reset();
        });
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502").doesNotContain("a part");
        assertThat(attempts).hasValue(1);
    }
}
