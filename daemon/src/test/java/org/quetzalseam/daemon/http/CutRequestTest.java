package org.quetzalseam.daemon.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests callers that stop in the middle of a request. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class CutRequestTest {
    private static final String HEAD = "POST /x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: key-12\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 27\r\n\r\na body of twenty-seven byte";
    private static final String IN_CHUNKS =
            HEAD + "Transfer-Encoding: chunked\r\n\r\n00b\r\na body of t\r\n10\r\nwenty-seven byte\r\n0\r\n\r\n";
    private static final String WITHOUT_BODY = "GET /x HTTP/1.1\r\nHost: h\r\nIdempotency-Key: key-12\r\n\r\n";

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ExchangeServer server = new ExchangeServer("127.0.0.1", 0, executor);
    private final List<String> handled = new CopyOnWriteArrayList<>();

    @BeforeEach
    void start() {
        server.handle("/", this::handle);
        server.start();
    }

    @AfterEach
    void stop() {
        server.stop();
        executor.shutdownNow();
    }

    private void handle(ServerExchange exchange) throws IOException {
        int bytes = exchange.requestBody().readAllBytes().length;
        handled.add(exchange.requestHeaders().get("Idempotency-Key") + " with " + bytes + " bytes");
        exchange.begin(200, 2);
        exchange.responseBody().write("ok".getBytes(StandardCharsets.US_ASCII));
        exchange.close();
    }

    /** Sends the first bytes of a request, closes the caller's side and returns the answer. */
    private String send(String request, int bytes) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), server.port())) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII), 0, bytes);
            socket.shutdownOutput();
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        }
    }

    // Guards against a request whose head or body ends with its connection being run as whole, with headers missing or
    // cut
    // and an empty or short body.
    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, IN_CHUNKS, WITHOUT_BODY})
    void aRequestThatIsCutAtAnyByteIsNotTakenForWhole(String request) throws IOException {
        List<Integer> taken = new ArrayList<>();
        for (int cut = 1; cut < request.length(); cut++) {
            if (send(request, cut).startsWith("HTTP/1.1 200")) {
                taken.add(cut);
            }
        }
        assertThat(taken).isEmpty();
        assertThat(handled).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, IN_CHUNKS, WITHOUT_BODY})
    void aWholeRequestIsAnsweredThoughItsCallerClosesItsSide(String request) throws IOException {
        assertThat(send(request, request.length())).startsWith("HTTP/1.1 200").endsWith("ok");
        assertThat(handled).singleElement().asString().startsWith("key-12 with");
    }
}
