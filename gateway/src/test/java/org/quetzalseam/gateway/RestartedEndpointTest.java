package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests an endpoint that restarts under the same id and has no state of its previous incarnation. */
class RestartedEndpointTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    /** Timeout of the routes, in milliseconds; an answer within half of it did not wait for it. */
    private static final long TIMEOUT_MILLIS = 5_000;

    private static final long SECOND_START_MILLIS = 2_000;
    /** Longer than the entry waits for replies of an ended incarnation, in milliseconds. */
    private static final long LATE_REPLY_MILLIS = 700;

    private final TestEntry entry = new TestEntry();
    private final AtomicInteger bookings = new AtomicInteger();
    private final AtomicInteger prefills = new AtomicInteger();
    private final CountDownLatch arrived = new CountDownLatch(1);
    private final ScriptedEndpoint plain =
            new ScriptedEndpoint("plain", (request, connection) -> connection.answer(request, "answer"));
    private final ScriptedEndpoint prefill = new ScriptedEndpoint("prefill", this::answerPrefill);
    private final ScriptedEndpoint decode = new ScriptedEndpoint("decode", this::decode);

    private ScriptedEndpoint.Script stream = (request, connection) -> {
        connection.beginStream(request);
        connection.chunk("id: 1\ndata: a\n\n");
        connection.endStream();
    };

    @BeforeEach
    void start() {
        entry.updateRoutes(TIMEOUT_MILLIS);
        entry.updateEndpoints(
                plain.member("s", Stage.WHOLE), prefill.member("s", Stage.PREFILL), decode.member("s", Stage.DECODE));
    }

    @AfterEach
    void stop() {
        entry.close();
        plain.close();
        prefill.close();
        decode.close();
    }

    private void answerPrefill(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        connection.answer(request, request.path().startsWith("/control/") ? "" : "kv" + prefills.incrementAndGet());
    }

    private void decode(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/reserve")) {
            connection.answer(request, "booking" + bookings.incrementAndGet());
        } else if (request.path().startsWith("/control/")) {
            connection.answer(request, "");
        } else {
            stream.reply(request, connection);
        }
    }

    private void restartPlain() {
        entry.updateEndpoints(
                plain.member("s", Stage.WHOLE, SECOND_START_MILLIS),
                prefill.member("s", Stage.PREFILL),
                decode.member("s", Stage.DECODE));
    }

    private void restartDecode() {
        entry.updateEndpoints(
                plain.member("s", Stage.WHOLE),
                prefill.member("s", Stage.PREFILL),
                decode.member("s", Stage.DECODE, SECOND_START_MILLIS));
    }

    private void restartPrefill() {
        entry.updateEndpoints(
                plain.member("s", Stage.WHOLE),
                prefill.member("s", Stage.PREFILL, SECOND_START_MILLIS),
                decode.member("s", Stage.DECODE));
    }

    /** Leaves a request unanswered in the first incarnation and answers in the second. */
    private void unresponsiveThenAnswering(RawRequest request, ScriptedEndpoint.Connection connection)
            throws IOException {
        if (arrived.getCount() > 0) {
            arrived.countDown();
            connection.awaitClosed();
        } else {
            connection.answer(request, "answer");
        }
    }

    private static String awaitWithinHalfTimeout(CompletableFuture<String> answer) throws Exception {
        return answer.get(TIMEOUT_MILLIS / 2, TimeUnit.MILLISECONDS);
    }

    @Test
    void idleConnectionsToThePreviousIncarnationAreNotUsed() {
        entry.ask("/once/x", "r1");
        entry.ask("/once/x", "r2");
        assertThat(plain.connections()).isEqualTo(1);
        restartPlain();
        assertThat(entry.ask("/once/x", "r3")).endsWith("answer");
        assertThat(plain.connections()).isEqualTo(2);
    }

    @Test
    void aCallThatMayHaveRunInThePreviousIncarnationFailsAtOnceAndIsNotSentAgain() throws Exception {
        plain.script(this::unresponsiveThenAnswering);
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> entry.ask("/once/x", "r1"));
        arrived.await();
        restartPlain();
        assertThat(awaitWithinHalfTimeout(answer)).startsWith("HTTP/1.1 502");
        assertThat(plain.runs()).hasSize(1);
    }

    @Test
    void anIdempotentCallGoesToTheNewIncarnationAtOnce() throws Exception {
        plain.script(this::unresponsiveThenAnswering);
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> entry.ask("/many/x", "r1"));
        arrived.await();
        restartPlain();
        assertThat(awaitWithinHalfTimeout(answer)).startsWith("HTTP/1.1 200").endsWith("answer");
        assertThat(plain.runs()).hasSize(2);
    }

    @Test
    void anAnswerOfThePreviousIncarnationThatWasInFlightIsDelivered() throws Exception {
        CountDownLatch listed = new CountDownLatch(1);
        plain.script((request, connection) -> {
            arrived.countDown();
            await(listed);
            connection.answer(request, "late");
        });
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> entry.ask("/once/x", "r1"));
        arrived.await();
        restartPlain();
        listed.countDown();
        assertThat(awaitWithinHalfTimeout(answer)).startsWith("HTTP/1.1 200").endsWith("late");
    }

    /** Ends the plain endpoint's first incarnation as a crash does: requests in progress there fail. */
    private void crashPlain() {
        plain.script((request, connection) -> connection.reset());
        assertThat(entry.ask("/once/x", "first")).startsWith("HTTP/1.1 502");
    }

    /**
     * Guards against a call that is reported as lost (502) although the new incarnation is processing it. A crashed
     * endpoint accepts calls at its address as soon as it is up, before its new start time is listed. An entry that assigns
     * all calls in progress to the previous incarnation when the start is listed ({@code endpoint-started-again …
     * outstanding=1}) gives them up a moment later.
     */
    @Test
    void aCallAcceptedByTheNewIncarnationBeforeItIsListedIsAnswered() throws Exception {
        crashPlain();
        CountDownLatch mayAnswer = new CountDownLatch(1);
        plain.script((request, connection) -> {
            arrived.countDown();
            await(mayAnswer);
            connection.answer(request, "answer");
        });
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> entry.ask("/once/x", "second"));
        arrived.await();
        restartPlain();
        TimeUnit.MILLISECONDS.sleep(LATE_REPLY_MILLIS);
        mayAnswer.countDown();
        assertThat(awaitWithinHalfTimeout(answer)).startsWith("HTTP/1.1 200").endsWith("answer");
        assertThat(plain.runs()).hasSize(2);
    }

    /** A stream that the new incarnation has started continues in the same way, even if it may not be resumed. */
    @Test
    void aStreamStartedByTheNewIncarnationBeforeItIsListedIsNotCut() throws Exception {
        stream = (request, connection) -> connection.reset();
        assertThat(entry.ask("/stream/x", "first", PROMPT_TOKENS_HEADER)).doesNotContain("data: a");
        CountDownLatch mayContinue = new CountDownLatch(1);
        stream = (request, connection) -> {
            connection.beginStream(request);
            connection.chunk("id: 1\ndata: a\n\n");
            arrived.countDown();
            await(mayContinue);
            connection.chunk("id: 2\ndata: b\n\n");
            connection.endStream();
        };
        CompletableFuture<String> answer =
                CompletableFuture.supplyAsync(() -> entry.ask("/stream/x", "second", PROMPT_TOKENS_HEADER));
        arrived.await();
        restartDecode();
        TimeUnit.MILLISECONDS.sleep(LATE_REPLY_MILLIS);
        mayContinue.countDown();
        assertThat(awaitWithinHalfTimeout(answer))
                .contains("data: a")
                .contains("data: b")
                .endsWith("0\r\n\r\n");
    }

    private static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("stopped", e);
        }
    }

    /** Sends one event in the first incarnation and then nothing; sends the rest in the second. */
    private void interruptedStream(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        connection.beginStream(request);
        if (arrived.getCount() > 0) {
            connection.chunk("id: 1\ndata: a\n\n");
            arrived.countDown();
            connection.awaitClosed();
        } else {
            connection.chunk("id: 2\ndata: b\n\n");
            connection.endStream();
        }
    }

    @Test
    void aResumableStreamContinuesInTheNewIncarnation() throws Exception {
        stream = this::interruptedStream;
        CompletableFuture<String> answer =
                CompletableFuture.supplyAsync(() -> entry.ask("/resumable/x", "r1", PROMPT_TOKENS_HEADER));
        arrived.await();
        restartDecode();
        assertThat(awaitWithinHalfTimeout(answer))
                .contains("data: a")
                .contains("data: b")
                .endsWith("0\r\n\r\n");
        assertThat(decode.runs()).hasSize(2);
        assertThat(decode.runs().get(1).header("x-resume")).isEqualTo("1");
    }

    @Test
    void aStreamThatMayNotBeResumedEndsAtOnce() throws Exception {
        stream = this::interruptedStream;
        CompletableFuture<String> answer =
                CompletableFuture.supplyAsync(() -> entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER));
        arrived.await();
        restartDecode();
        assertThat(awaitWithinHalfTimeout(answer)).contains("data: a").doesNotContain("0\r\n\r\n");
        assertThat(decode.runs()).hasSize(1);
    }

    /** Returns the only run of a stream that is answered although an endpoint restarts during its prefill. */
    private RawRequest runDespiteRestart(Runnable restart) {
        prefill.script((request, connection) -> {
            if (prefills.get() == 0) {
                restart.run();
            }
            answerPrefill(request, connection);
        });
        assertThat(entry.ask("/stream/x", "r1", PROMPT_TOKENS_HEADER))
                .startsWith("HTTP/1.1 200")
                .contains("data: a");
        assertThat(decode.runs()).hasSize(1);
        return decode.runs().get(0);
    }

    @Test
    void aBookingOfThePreviousIncarnationIsNeitherUsedNorReleased() {
        RawRequest run = runDespiteRestart(this::restartDecode);
        assertThat(run.header("x-booking")).isEqualTo("booking3");
        List<String> released = decode.requests().stream()
                .map(RawRequest::path)
                .filter(path -> path.startsWith("/control/release"))
                .toList();
        assertThat(released).doesNotContain("/control/release/booking1");
    }

    @Test
    void anEndpointAtWhoseAddressAnotherAnswersIsExcludedUntilItsRegistrationChanges() {
        plain.script((request, connection) -> connection.write("HTTP/1.1 421 Misdirected Request\r\nx-id: "
                + request.header("x-id") + "\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"));
        for (int i = 0; i < 4; i++) {
            assertThat(entry.ask("/once/x", "r" + i)).startsWith("HTTP/1.1 503");
        }
        assertThat(plain.runs()).hasSizeLessThanOrEqualTo(1);
        plain.script((request, connection) -> connection.answer(request, "answer"));
        restartPlain();
        assertThat(entry.ask("/once/x", "r9")).endsWith("answer");
    }

    @Test
    void aPromptPrefilledByThePreviousIncarnationIsPrefilledAgain() {
        RawRequest run = runDespiteRestart(this::restartPrefill);
        assertThat(run.header("x-kv")).isEqualTo("kv2");
    }
}
