package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.fleet.Stage;

/** Tests callers that stop in the middle of a request. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class CutRequestTest {
    private static final String HEAD = "POST /once/x HTTP/1.1\r\nHost: h\r\nx-id: r12\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 27\r\n\r\na body of twenty-seven byte";
    private static final String IN_CHUNKS =
            HEAD + "Transfer-Encoding: chunked\r\n\r\n00b\r\na body of t\r\n10\r\nwenty-seven byte\r\n0\r\n\r\n";
    private static final String WITHOUT_BODY = "GET /once/x HTTP/1.1\r\nHost: h\r\nx-id: r12\r\n\r\n";

    private final TestEntry entry = new TestEntry();
    private final ScriptedEndpoint endpoint =
            new ScriptedEndpoint("e", (request, connection) -> connection.answer(request, "answer"));

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    /** Sends the first bytes of a request, closes or resets the caller's side and returns the answer, if it can still be read. */
    private String send(String request, int bytes, boolean reset) throws IOException {
        try (Socket socket =
                new Socket(entry.address().getAddress(), entry.address().getPort())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII), 0, bytes);
            if (reset) {
                socket.setSoLinger(true, 0);
                return "";
            }
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    // Guards against a request whose head or body ends with its connection being run as whole.
    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, IN_CHUNKS, WITHOUT_BODY})
    void aRequestThatIsCutAtAnyByteIsNotRun(String request) throws IOException {
        List<Integer> taken = new ArrayList<>();
        for (boolean reset : new boolean[] {false, true}) {
            for (int cut = 1; cut < request.length(); cut++) {
                if (send(request, cut, reset).startsWith("HTTP/1.1 200")) {
                    taken.add(cut);
                }
            }
        }
        // Served after all that was cut, so that nothing of it is still on its way.
        assertThat(entry.ask("/once/x", "last")).endsWith("answer");
        assertThat(taken).isEmpty();
        assertThat(endpoint.runs())
                .singleElement()
                .satisfies(run -> assertThat(run.header("x-id")).isEqualTo("last"));
    }
}
