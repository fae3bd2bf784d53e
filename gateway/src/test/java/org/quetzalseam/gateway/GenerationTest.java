package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

class GenerationTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";

    private final TestEntry entry = new TestEntry();
    private final AtomicInteger bookings = new AtomicInteger();
    private final AtomicBoolean full = new AtomicBoolean();
    private final ScriptedEndpoint prefill = new ScriptedEndpoint("prefill", this::answerPrefill);
    private final ScriptedEndpoint decode = new ScriptedEndpoint("decode", engine(this::twoEvents));

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
        entry.updateEndpoints(prefill.member("s", Stage.PREFILL), decode.member("s", Stage.DECODE));
    }

    @AfterEach
    void stop() {
        entry.close();
        prefill.close();
        decode.close();
    }

    private void answerPrefill(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        connection.answer(request, request.path().startsWith("/control/") ? "" : "kv1");
    }

    /** Returns a script of an engine that grants bookings unless it is full, and streams by the given script. */
    private ScriptedEndpoint.Script engine(ScriptedEndpoint.Script stream) {
        return (request, connection) -> {
            if (request.path().startsWith("/control/reserve") && full.get()) {
                connection.reject(request);
            } else if (request.path().startsWith("/control/reserve")) {
                connection.answer(request, "booking" + bookings.incrementAndGet());
            } else if (request.path().startsWith("/control/")) {
                connection.answer(request, "");
            } else {
                stream.reply(request, connection);
            }
        };
    }

    private void twoEvents(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        connection.beginStream(request);
        connection.chunk("id: 1\ndata: a\n\n");
        connection.chunk("id: 2\ndata: b\n\n");
        connection.endStream();
    }

    private List<String> controlPaths(ScriptedEndpoint endpoint, String prefix) {
        return endpoint.requests().stream()
                .map(RawRequest::path)
                .filter(path -> path.startsWith(prefix))
                .toList();
    }

    @Test
    void memoryIsBookedBeforePrefillAndTheKvCacheIsSentToTheBooking() {
        String answer = entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER);
        assertThat(answer)
                .startsWith("HTTP/1.1 200 OK")
                .contains("data: a")
                .contains("data: b")
                .endsWith("0\r\n\r\n");
        assertThat(prefill.runs())
                .singleElement()
                .satisfies(run -> assertThat(run.header("x-prefill")).isEqualTo("1"));
        assertThat(decode.runs()).singleElement().satisfies(run -> {
            assertThat(run.header("x-kv")).isEqualTo("kv1");
            assertThat(run.header("x-booking")).isEqualTo("booking1");
        });
    }

    @Test
    void theBookingForALongRequestIsReleasedAtOnce() {
        entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER);
        assertThat(controlPaths(decode, "/control/reserve")).hasSize(2);
        assertThat(controlPaths(decode, "/control/release")).containsExactly("/control/release/booking2");
    }

    @Test
    void callsThatAnEngineNeverAnswersDoNotUseUpTheConnectionsToIt() {
        decode.script((request, connection) -> {
            if (request.path().startsWith("/control/release")) {
                connection.awaitClosed();
            } else if (request.path().startsWith("/control/")) {
                connection.answer(request, "booking" + bookings.incrementAndGet());
            } else {
                twoEvents(request, connection);
            }
        });
        for (int i = 0; i < 12; i++) {
            assertThat(entry.ask("/stream/x", "r" + i, PROMPT_TOKENS_HEADER))
                    .as("stream %d", i)
                    .startsWith("HTTP/1.1 200");
        }
    }

    @Test
    void aFullEngineLeadsToARefusalBeforeAnythingRuns() {
        full.set(true);
        String answer = entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER);
        assertThat(answer).startsWith("HTTP/1.1 503").contains("x-come-back: ");
        assertThat(prefill.runs()).isEmpty();
        assertThat(decode.runs()).isEmpty();
    }

    @Test
    void aQueuedRequestGetsTheMemoryThatBecomesFree() throws Exception {
        full.set(true);
        CompletableFuture<String> answer =
                CompletableFuture.supplyAsync(() -> entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER));
        TimeUnit.MILLISECONDS.sleep(200);
        full.set(false);
        assertThat(answer.get(10, TimeUnit.SECONDS)).startsWith("HTTP/1.1 200");
    }

    @Test
    void aLateRetryIsRefusedBeforeItsDeadline() {
        entry.ask("/stream/x", "first", PROMPT_TOKENS_HEADER, "x-patience: 20000");
        full.set(true);
        assertThat(entry.ask("/stream/x", "again", PROMPT_TOKENS_HEADER, "x-patience: 15000"))
                .startsWith("HTTP/1.1 503")
                .contains("x-come-back: ");
    }

    @Test
    void aPartialEventIsNeverDeliveredAndABrokenStreamDoesNotLookComplete() {
        decode.script(engine((request, connection) -> {
            connection.beginStream(request);
            connection.chunk("id: 1\ndata: a\n\nid: 2\ndata: ha");
            connection.reset();
        }));
        String answer = entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER);
        assertThat(answer).contains("data: a").doesNotContain("data: ha").doesNotEndWith("0\r\n\r\n");
    }

    @Test
    void aStreamThatMayNotBeRepeatedRunsOnce() {
        decode.script(engine((request, connection) -> connection.reset()));
        assertThat(entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER)).startsWith("HTTP/1.1 502");
        assertThat(decode.runs()).hasSize(1);
    }

    @Test
    void aResumableStreamContinuesAfterItsLastCompleteEvent() {
        AtomicInteger runs = new AtomicInteger();
        decode.script(engine((request, connection) -> {
            connection.beginStream(request);
            if (runs.incrementAndGet() == 1) {
                connection.chunk("id: 1\ndata: a\n\nid: 2\ndata: ha");
                connection.reset();
                return;
            }
            connection.chunk("id: 2\ndata: b\n\n");
            connection.endStream();
        }));
        String answer = entry.ask("/resumable/x", "r1", PROMPT_TOKENS_HEADER);
        assertThat(answer).endsWith("0\r\n\r\n");
        assertThat(answer.split("HTTP/1.1", -1)).as("one head").hasSize(2);
        assertThat(answer.split("data: a", -1)).hasSize(2);
        assertThat(answer.split("data: b", -1)).hasSize(2);
        assertThat(decode.runs().get(1).header("x-resume")).isEqualTo("1");
    }

    @Test
    void aRequestThatAnEngineRejectsGetsAnotherAttempt() {
        AtomicInteger runs = new AtomicInteger();
        decode.script(engine((request, connection) -> {
            if (runs.incrementAndGet() == 1) {
                connection.reject(request);
            } else {
                twoEvents(request, connection);
            }
        }));
        assertThat(entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER))
                .startsWith("HTTP/1.1 200")
                .endsWith("0\r\n\r\n");
        assertThat(prefill.runs()).hasSize(2);
    }

    /** An engine that changes stage still grants bookings and looks like the emptiest, because nothing runs there. */
    @Test
    void anEngineThatRejectsAllRequestsIsUsedOnceAlthoughItLooksLikeTheEmptiest() {
        ScriptedEndpoint changing =
                new ScriptedEndpoint("changing", engine((request, connection) -> connection.reject(request)));
        try (changing) {
            entry.updateEndpoints(
                    prefill.member("s", Stage.PREFILL),
                    decode.member("s", Stage.DECODE),
                    changing.member("s", Stage.DECODE));
            for (int i = 0; i < 12; i++) {
                assertThat(entry.ask("/stream/x", "r" + i, PROMPT_TOKENS_HEADER))
                        .startsWith("HTTP/1.1 200");
            }
            assertThat(decode.runs()).hasSize(12);
            assertThat(changing.runs()).hasSizeLessThanOrEqualTo(1);
        }
    }

    @Test
    void allEnginesAreTriedWhenMoreThanHalfOfThemRejectRequests() {
        AtomicInteger runs = new AtomicInteger();
        decode.script(engine((request, connection) -> {
            if (runs.incrementAndGet() <= 2) {
                connection.reject(request);
            } else {
                twoEvents(request, connection);
            }
        }));
        assertThat(entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER)).startsWith("HTTP/1.1 200");
        assertThat(prefill.runs()).hasSize(3);
    }

    @Test
    void withoutAPrefillEngineTheDecodeEnginePrefillsThePrompt() {
        entry.updateEndpoints(decode.member("s", Stage.DECODE));
        assertThat(entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER)).startsWith("HTTP/1.1 200");
        assertThat(decode.runs())
                .singleElement()
                .satisfies(run -> assertThat(run.header("x-kv")).isEmpty());
    }

    @Test
    void aCallerThatDisconnectsDuringPrefillLeavesNoBookingBehind() throws Exception {
        CompletableFuture<Void> prefillStarted = new CompletableFuture<>();
        prefill.script((request, connection) -> {
            prefillStarted.complete(null);
            connection.awaitClosed();
        });
        try (TestEntry.Caller caller = entry.caller()) {
            caller.send("/stream/x", "r1", PROMPT_TOKENS_HEADER);
            prefillStarted.get(10, TimeUnit.SECONDS);
        }
        for (int i = 0;
                i < 100 && !controlPaths(decode, "/control/release").contains("/control/release/booking1");
                i++) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
        assertThat(controlPaths(decode, "/control/release")).contains("/control/release/booking1");
        assertThat(decode.runs()).isEmpty();
    }

    @Test
    void aCallerThatDisconnectsEndsItsStreamAtTheEngine() throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        decode.script(engine((request, connection) -> {
            connection.beginStream(request);
            connection.chunk("id: 1\ndata: a\n\n");
            closed.complete(connection.awaitClosed());
        }));
        try (TestEntry.Caller caller = entry.caller()) {
            caller.send("/stream/x", "r1", PROMPT_TOKENS_HEADER);
            caller.readUntil("data: a");
        }
        assertThat(closed.get(10, TimeUnit.SECONDS)).isTrue();
    }
}
