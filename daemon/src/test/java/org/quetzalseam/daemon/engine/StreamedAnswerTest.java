package org.quetzalseam.daemon.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.quetzalseam.standins.raw.RawServer;

class StreamedAnswerTest {
    private static final int EVENTS = 1_000;

    // Guards against parts of a stream being handled at the same time, out of order, or after its end.
    @Test
    void aStreamIsDeliveredWholeAndInOrder() throws Exception {
        CompletableFuture<String> outputs = new CompletableFuture<>();
        try (RawServer server = new RawServer((request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = 0; event < EVENTS; event++) {
                connection.chunk("data: {\"choices\":[{\"text\":\"" + event + ",\"}]}\n\n");
            }
            connection.chunk("data: [DONE]\n\n");
            connection.endChunks();
        })) {
            HttpEngine engine = new HttpEngine("http://127.0.0.1:" + server.port());
            byte[] empty = "{}".getBytes(StandardCharsets.UTF_8);
            engine.decode(new EngineRequest("r-1", 0, empty), empty, new OutputSink() {
                private final StringBuilder text = new StringBuilder();

                @Override
                public void output(String output) {
                    text.append(output);
                }

                @Override
                public void ended(String reason) {
                    outputs.complete(text.toString());
                }

                @Override
                public void failed(EngineException failure) {
                    outputs.completeExceptionally(failure);
                }
            });
            String expected =
                    IntStream.range(0, EVENTS).mapToObj(event -> event + ",").collect(Collectors.joining());
            assertThat(outputs.get(10, TimeUnit.SECONDS)).isEqualTo(expected);
        }
    }
}
