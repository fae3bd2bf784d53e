package org.quetzalseam.daemon.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Function;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.standins.raw.BrokenAnswers;
import org.quetzalseam.standins.raw.BrokenAnswers.Answer;
import org.quetzalseam.standins.raw.RawConnection;
import org.quetzalseam.standins.raw.RawServer;

/** Tests engines that send answers which HTTP/1.1 does not define, or bytes without end. */
@Timeout(value = 3, unit = TimeUnit.MINUTES)
class BrokenEngineAnswerTest {
    private static final String TRANSFER = "{\"kv_transfer_params\":{\"at\":\"e-1\"}}";
    private static final String EVENT = "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\n";
    private static final String STREAM = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
    /** Time by which a request must have failed whose engine sends bytes without end, in milliseconds. */
    private static final long FAILED_MILLIS = 10_000;

    private static final String EVENTS = EVENT + "data: [DONE]\n\n";

    private static EngineRequest request() {
        return new EngineRequest("r-1", 0, "{\"prompt\":\"p\"}".getBytes(StandardCharsets.UTF_8));
    }

    private static String prefill(HttpEngine engine) {
        return engine.prefill(request())
                .handle((transfer, failure) -> failure == null ? "done" : code(failure))
                .join();
    }

    private static String code(Throwable failure) {
        return ((EngineException) HttpClients.cause(failure)).code().toString();
    }

    private static String decode(HttpEngine engine) {
        return decode(engine, request(), new ArrayList<>());
    }

    private static String decode(HttpEngine engine, EngineRequest request, List<String> outputs) {
        CompletableFuture<String> end = new CompletableFuture<>();
        engine.decode(request, "{}".getBytes(StandardCharsets.UTF_8), new OutputSink() {
            @Override
            public void output(String text) {
                outputs.add(text);
            }

            @Override
            public void ended(String reason) {
                end.complete(reason);
            }

            @Override
            public void failed(EngineException failure) {
                end.complete(failure.code().toString());
            }
        });
        return end.join();
    }

    private static List<String> taken(String body, Function<HttpEngine, String> call) {
        List<String> taken = new ArrayList<>();
        // An event stream has ended before its trailer arrives, so trailers are left out.
        for (Answer answer : new BrokenAnswers(body, "Content-Type: x/y", "X-S: 1")
                .broken().stream()
                        .filter(form -> !body.equals(EVENTS) || !form.name().endsWith("in a trailer"))
                        .toList()) {
            try (RawServer server = new RawServer((request, connection) -> {
                connection.write(answer.text());
                connection.finish();
            })) {
                String told = call.apply(new HttpEngine("http://127.0.0.1:" + server.port()));
                if (!told.equals("FAILED")) {
                    taken.add(answer + ": " + told);
                }
            }
        }
        return taken;
    }

    // Guards against a prefill counting as done, or as not run, by an answer that HTTP does not define.
    @Test
    void aPrefillWithABrokenAnswerFails() {
        assertThat(taken(TRANSFER, BrokenEngineAnswerTest::prefill)).isEmpty();
    }

    // Guards against outputs of a stream being delivered, or the request counting as not run, though its head is
    // broken.
    @Test
    void aStreamWithABrokenHeadFails() {
        assertThat(taken(EVENTS, BrokenEngineAnswerTest::decode)).isEmpty();
    }

    // Guards against a cancellation counting as done, and the engine's memory as free, by an answer that HTTP does not
    // define.
    @Test
    void aCancellationWithABrokenAnswerIsRepeated() {
        List<String> requests = new ArrayList<>();
        try (RawServer server = new RawServer((request, connection) -> {
            requests.add(request.method());
            String status = requests.size() == 1 ? "000 Nothing" : "200 OK";
            connection.write("HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n");
        })) {
            new HttpEngine("http://127.0.0.1:" + server.port()).cancel("r-1").join();
        }
        assertThat(requests).containsExactly("DELETE", "DELETE");
    }

    // Guards against an endpoint that keeps what an engine sends without end: its memory, and the time of the request.
    @ParameterizedTest
    @ValueSource(
            strings = {"\r\n", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n", STREAM + "x", STREAM + "\n", STREAM + ": x\n"})
    void bytesThatAreNoAnswerAreBoundedInNumber(String bytes) {
        boolean inBody = bytes.startsWith(STREAM);
        String endless = bytes.substring(inBody ? STREAM.length() : 0).repeat(10_000);
        try (RawServer server = new RawServer((request, connection) -> {
            connection.write(inBody ? STREAM : "");
            writeWithoutEnd(connection, endless);
        })) {
            HttpEngine engine = new HttpEngine("http://127.0.0.1:" + server.port());
            assertThat(failedInTime(() -> decode(engine))).isEqualTo("FAILED");
            assertThat(failedInTime(() -> prefill(engine))).isEqualTo("FAILED");
        }
    }

    // Guards against an endpoint that keeps the outputs of a stream without end, which it may have to send to an entry
    // again.
    @ParameterizedTest
    @ValueSource(ints = {1, 100_000})
    void outputsAreBoundedByTheTokensThatWereAskedFor(int textBytes) {
        String event = "data: {\"choices\":[{\"text\":\"" + "a".repeat(textBytes) + "\"}]}\n\n";
        try (RawServer server = new RawServer((request, connection) -> {
            connection.write(STREAM);
            writeWithoutEnd(connection, event);
        })) {
            HttpEngine engine = new HttpEngine("http://127.0.0.1:" + server.port());
            byte[] body = "{\"prompt\":\"p\",\"max_tokens\":50}".getBytes(StandardCharsets.UTF_8);
            List<String> outputs = new ArrayList<>();
            assertThat(failedInTime(() -> decode(engine, new EngineRequest("r-1", 0, body), outputs)))
                    .isEqualTo("FAILED");
            assertThat(outputs).hasSizeLessThanOrEqualTo(50);
            assertThat(String.join("", outputs)).hasSizeLessThan(200_000);
        }
    }

    // Guards against a stream of as many tokens as were asked for being taken for one without end.
    @Test
    void aStreamWithAllTokensThatWereAskedForIsDelivered() {
        String event = "data: {\"choices\":[{\"text\":\"a\"}]}\n\n";
        try (RawServer server = new RawServer((request, connection) -> {
            connection.write(STREAM + event.repeat(50) + EVENTS.replace("\"a\"", "\"\""));
            connection.finish();
        })) {
            byte[] body = "{\"prompt\":\"p\",\"max_tokens\":50}".getBytes(StandardCharsets.UTF_8);
            List<String> outputs = new ArrayList<>();
            HttpEngine engine = new HttpEngine("http://127.0.0.1:" + server.port());
            assertThat(decode(engine, new EngineRequest("r-1", 0, body), outputs))
                    .isEqualTo("stop");
            assertThat(outputs).hasSize(50);
        }
    }

    // Guards against outputs that are lost, or never read, because reading pauses while a slow receiver takes them.
    @Test
    void aStreamOfManyOutputsIsDeliveredWholeToASlowReceiver() {
        int count = 4_000;
        String event = "data: {\"choices\":[{\"text\":\"" + "a".repeat(1_000) + "\"}]}\n\n";
        AtomicInteger outputs = new AtomicInteger();
        CompletableFuture<String> end = new CompletableFuture<>();
        try (RawServer server = new RawServer((request, connection) -> {
            connection.write(STREAM + event.repeat(count) + "data: [DONE]\n\n");
            connection.finish();
        })) {
            HttpEngine engine = new HttpEngine("http://127.0.0.1:" + server.port());
            engine.decode(request(), "{}".getBytes(StandardCharsets.UTF_8), new OutputSink() {
                @Override
                public void output(String text) {
                    if (outputs.incrementAndGet() % 100 == 0) {
                        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(20));
                    }
                }

                @Override
                public void ended(String reason) {
                    end.complete(reason);
                }

                @Override
                public void failed(EngineException failure) {
                    end.complete(String.valueOf(failure.getMessage()));
                }
            });
            assertThat(end).succeedsWithin(FAILED_MILLIS, TimeUnit.MILLISECONDS).isEqualTo("stop");
        }
        assertThat(outputs).hasValue(count);
    }

    // Guards against an engine that sends on after the last event, and keeps a connection and its reader busy.
    @Test
    void anEngineThatSendsOnAfterTheLastEventIsClosed() throws Exception {
        CompletableFuture<Void> closed = new CompletableFuture<>();
        try (RawServer server = new RawServer((request, connection) -> {
            connection.write(STREAM + EVENTS);
            try {
                writeWithoutEnd(connection, EVENT.repeat(1_000));
            } catch (IOException e) {
                closed.complete(null);
            }
        })) {
            assertThat(decode(new HttpEngine("http://127.0.0.1:" + server.port())))
                    .isEqualTo("stop");
            assertThat(closed).succeedsWithin(FAILED_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private static String failedInTime(Supplier<String> call) {
        long start = System.nanoTime();
        String told = CompletableFuture.supplyAsync(call)
                .completeOnTimeout("not ended", FAILED_MILLIS, TimeUnit.MILLISECONDS)
                .join();
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThanOrEqualTo(FAILED_MILLIS + 1_000);
        return told;
    }

    /** Writes until the client closes the connection. */
    private static void writeWithoutEnd(RawConnection connection, String block) throws IOException {
        while (true) {
            connection.write(block);
        }
    }
}
