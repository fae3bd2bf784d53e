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

/** An endpoint that starts again under its id holds and knows nothing of its earlier life. */
class RestartedEndpointTest {
    private static final String SIZE = "x-tokens: 1000";
    /** Time limit of the routes, in milliseconds; what is answered in half of it didn't wait for it. */
    private static final long TIMEOUT_MILLIS = 5_000;

    private static final long SECOND_START_MILLIS = 2_000;
    /** Longer than the replies of an ended life are waited for. */
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

    /** The first life goes silent over a request; the second answers. */
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

    /** Ends the plain endpoint's first life as a crash does: what was under way there breaks off. */
    private void crashPlain() {
        plain.script((request, connection) -> connection.reset());
        assertThat(entry.ask("/once/x", "first")).startsWith("HTTP/1.1 502");
    }

    /**
     * An endpoint that has crashed is up again before its start is listed, and takes calls at its address from then on. When its start
     * was listed, the entry took all that was under way there for a part of the earlier life, and told it lost a moment later although
     * the new life was working on it: {@code endpoint-started-again … outstanding=1}, then a 502.
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

    /** A stream that the new life has begun goes on in the same way, also where it may not be resumed. */
    @Test
    void aStreamStartedByTheNewIncarnationBeforeItIsListedIsNotCut() throws Exception {
        stream = (request, connection) -> connection.reset();
        assertThat(entry.ask("/stream/x", "first", SIZE)).doesNotContain("data: a");
        CountDownLatch mayGoOn = new CountDownLatch(1);
        stream = (request, connection) -> {
            connection.beginStream(request);
            connection.chunk("id: 1\ndata: a\n\n");
            arrived.countDown();
            await(mayGoOn);
            connection.chunk("id: 2\ndata: b\n\n");
            connection.endStream();
        };
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> entry.ask("/stream/x", "second", SIZE));
        arrived.await();
        restartDecode();
        TimeUnit.MILLISECONDS.sleep(LATE_REPLY_MILLIS);
        mayGoOn.countDown();
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

    /** One event in the first life, then silence; the rest in the second. */
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
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> entry.ask("/resumable/x", "r1", SIZE));
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
        CompletableFuture<String> answer = CompletableFuture.supplyAsync(() -> entry.ask("/stream/x", "r1", SIZE));
        arrived.await();
        restartDecode();
        assertThat(awaitWithinHalfTimeout(answer)).contains("data: a").doesNotContain("0\r\n\r\n");
        assertThat(decode.runs()).hasSize(1);
    }

    /** Returns the one run of a stream that is answered though something starts again while its prompt is read. */
    private RawRequest runDespiteRestart(Runnable restart) {
        prefill.script((request, connection) -> {
            if (prefills.get() == 0) {
                restart.run();
            }
            answerPrefill(request, connection);
        });
        assertThat(entry.ask("/stream/x", "r1", SIZE))
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
