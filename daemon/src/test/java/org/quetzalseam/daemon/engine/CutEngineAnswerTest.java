package org.quetzalseam.daemon.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.standins.raw.RawConnection.End;
import org.quetzalseam.standins.raw.RawServer;

/** Tests engines that stop in the middle of an answer. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class CutEngineAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: x/y\r\n";
    private static final String CHUNKED = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String TRANSFER = "{\"kv_transfer_params\":{\"at\":\"e-1\"}}";
    private static final String EVENTS =
            "data: {\"choices\":[{\"text\":\"a\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n";

    private static String chunk(String text) {
        return "0" + Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static EngineRequest request() {
        return new EngineRequest("r-1", 0, "{\"prompt\":\"p\"}".getBytes(StandardCharsets.UTF_8));
    }

    /** Returns after which bytes a cut answer was taken for whole. */
    private static List<String> takenForWhole(String answer, Function<HttpEngine, String> call) {
        List<String> taken = new ArrayList<>();
        for (End end : End.values()) {
            AtomicInteger bytes = new AtomicInteger();
            try (RawServer server = new RawServer((request, connection) -> connection.cut(answer, bytes.get(), end))) {
                HttpEngine engine = new HttpEngine("http://127.0.0.1:" + server.port());
                for (int cut = 0; cut < answer.length(); cut++) {
                    bytes.set(cut);
                    String result = call.apply(engine);
                    if (!result.equals("failed")) {
                        taken.add(end + " after byte " + cut + ": " + result);
                    }
                }
            }
        }
        return taken;
    }

    private static String prefill(HttpEngine engine) {
        return engine.prefill(request())
                .handle((transfer, failure) ->
                        failure == null ? new String(transfer, StandardCharsets.UTF_8) : "failed")
                .join();
    }

    private static String decode(HttpEngine engine) {
        CompletableFuture<String> end = new CompletableFuture<>();
        engine.decode(request(), "{}".getBytes(StandardCharsets.UTF_8), new OutputSink() {
            @Override
            public void output(String text) {
                // Only the end of the stream is tested.
            }

            @Override
            public void ended(String reason) {
                end.complete(reason);
            }

            @Override
            public void failed(EngineException failure) {
                end.complete("failed");
            }
        });
        return end.join();
    }

    // Guards against a prefill whose answer ends with its connection counting as done, without a KV cache to transfer.
    @ParameterizedTest
    @ValueSource(strings = {HEAD + "Content-Length: 35\r\n\r\n" + TRANSFER, "chunked", HEAD + "\r\n" + TRANSFER})
    void aPrefillWhoseAnswerIsCutAtAnyByteFails(String answer) {
        String whole = answer.equals("chunked") ? CHUNKED + chunk(TRANSFER) + "0\r\n\r\n" : answer;
        assertThat(takenForWhole(whole, CutEngineAnswerTest::prefill)).isEmpty();
    }

    // Guards against a stream that ends with its connection passing for one that the engine has ended.
    @ParameterizedTest
    @ValueSource(strings = {"chunked", HEAD + "\r\n" + EVENTS})
    void aStreamThatIsCutBeforeItsLastEventFails(String answer) {
        String whole = answer.equals("chunked") ? CHUNKED + chunk(EVENTS) : answer;
        String beforeLastLine = whole.substring(0, whole.indexOf("[DONE]") + "[DONE]".length());
        assertThat(takenForWhole(beforeLastLine, CutEngineAnswerTest::decode)).isEmpty();
    }
}
