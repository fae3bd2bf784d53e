package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests engines that begin to drain while a stream waits for its prompt, with memory booked at them. */
class LeavingEngineTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    private static final long SECOND_START_MILLIS = 2_000;

    private final TestEntry entry = new TestEntry();
    private final CountDownLatch reading = new CountDownLatch(1);
    private final CountDownLatch read = new CountDownLatch(1);
    private final ScriptedEndpoint prefill = new ScriptedEndpoint("prefill", this::prefill);
    private final ScriptedEndpoint leaving = new ScriptedEndpoint("leaving", LeavingEngineTest::decode);
    private final ScriptedEndpoint staying = new ScriptedEndpoint("staying", LeavingEngineTest::decode);
    private final CountDownLatch booking = new CountDownLatch(1);
    private final CountDownLatch booked = new CountDownLatch(1);
    private final AtomicInteger prefills = new AtomicInteger();

    private void prefill(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        reading.countDown();
        await(read);
        connection.answer(request, "kv" + prefills.incrementAndGet());
    }

    private static void await(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void decodeOnceBooked(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/reserve")) {
            booking.countDown();
            await(booked);
        }
        decode(request, connection);
    }

    private static void decode(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/")) {
            connection.answer(request, "booking");
            return;
        }
        connection.beginStream(request);
        connection.chunk("id: 1\ndata: a\n\n");
        connection.endStream();
    }

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
        entry.updateEndpoints(prefill.member("s", Stage.PREFILL), leaving.member("s", Stage.DECODE));
    }

    @AfterEach
    void stop() {
        read.countDown();
        booked.countDown();
        entry.close();
        prefill.close();
        leaving.close();
        staying.close();
    }

    private CompletableFuture<String> askUntilPromptIsRead() throws InterruptedException {
        CompletableFuture<String> answer = new CompletableFuture<>();
        new Thread(() -> answer.complete(entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER))).start();
        assertThat(reading.await(5, TimeUnit.SECONDS)).isTrue();
        return answer;
    }

    // Guards against a stream being sent to the engine that booked it after that has begun to drain, and being cut
    // off by its end.
    @Test
    void aStreamWhoseEngineBeginsToDrainDuringThePrefillGoesToAnotherOneWithTheSameKvCache() throws Exception {
        CompletableFuture<String> answer = askUntilPromptIsRead();
        entry.updateEndpoints(
                prefill.member("s", Stage.PREFILL),
                leaving.drainingMember("s", Stage.DECODE),
                staying.member("s", Stage.DECODE));
        read.countDown();
        assertThat(answer.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200 OK");
        assertThat(leaving.runs()).isEmpty();
        assertThat(staying.runs()).hasSize(1);
        assertThat(staying.runs().get(0).header("x-kv")).isEqualTo("kv1");
        assertThat(prefill.runs()).hasSize(1);
    }

    // Guards against a stream being cut off, or left waiting, because the only engine that booked it has begun to
    // drain.
    @Test
    void aStreamIsRefusedAsNotRunIfNoEngineStaysForIt() throws Exception {
        CompletableFuture<String> answer = askUntilPromptIsRead();
        entry.updateEndpoints(prefill.member("s", Stage.PREFILL), leaving.drainingMember("s", Stage.DECODE));
        read.countDown();
        assertThat(answer.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 503").contains("x-come-back: ");
        assertThat(leaving.runs()).isEmpty();
    }

    // Guards against a stream going on from another prompt's KV cache, which the prefill engine holds under the same
    // handle since it restarted, while the stream waited for memory at a second engine.
    @Test
    void aKvCacheWhosePrefillEngineRestartsDuringTheNextBookingIsNotUsed() throws Exception {
        staying.script(this::decodeOnceBooked);
        CompletableFuture<String> answer = askUntilPromptIsRead();
        entry.updateEndpoints(
                prefill.member("s", Stage.PREFILL),
                leaving.drainingMember("s", Stage.DECODE),
                staying.member("s", Stage.DECODE));
        read.countDown();
        assertThat(booking.await(5, TimeUnit.SECONDS)).isTrue();
        entry.updateEndpoints(
                prefill.member("s", Stage.PREFILL, SECOND_START_MILLIS),
                leaving.drainingMember("s", Stage.DECODE),
                staying.member("s", Stage.DECODE));
        booked.countDown();
        assertThat(answer.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200 OK");
        assertThat(staying.runs()).hasSize(1);
        assertThat(staying.runs().get(0).header("x-kv")).isEqualTo("kv2");
    }
}
