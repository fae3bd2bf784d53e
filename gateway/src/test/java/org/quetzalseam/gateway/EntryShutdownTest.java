package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests what happens to the requests of a draining entry when it ends, and when something fails before that. */
@Timeout(60)
class EntryShutdownTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    /** A deadline before the end of the grace period, so that the entry still accepts the request late in it. */
    private static final String SHORT_PATIENCE = "x-patience: 2000";
    /** Duration of each complete stream of the engine, in milliseconds. */
    private static final long STREAM_MILLIS = 1_500;
    /** Number of requests from whose durations the entry estimates how long another one takes. */
    private static final int SAMPLE_COUNT = 20;
    /** Grace period, in milliseconds: long enough for a stream that starts at once, too short for one that starts later. */
    private static final long GRACE_MILLIS = 3_000;
    /** Size of a body that does not fit into the buffers between an entry and a caller that does not read. */
    private static final int LARGE_BYTES = 7 * 1024 * 1024;
    /** Receive buffer of a caller that reads late, in bytes. */
    private static final int SMALL_WINDOW_BYTES = 16 * 1024;

    private final TestEntry entry = new TestEntry();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CompletableFuture<Void> arrived = new CompletableFuture<>();
    private final CompletableFuture<Void> mayAnswer = new CompletableFuture<>();
    private final ScriptedEndpoint engine = new ScriptedEndpoint("engine", this::slowStream);
    private final ScriptedEndpoint service = new ScriptedEndpoint("service", this::largeAnswer);

    @BeforeEach
    void start() {
        entry.updateRoutes(20_000, 1_000);
        entry.updateEndpoints(engine.member("s", Stage.DECODE), service.member("s", Stage.WHOLE));
    }

    @AfterEach
    void stop() {
        mayAnswer.complete(null);
        entry.close();
        engine.close();
        service.close();
        threads.shutdownNow();
    }

    private void slowStream(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/")) {
            connection.answer(request, "booking");
            return;
        }
        connection.beginStream(request);
        connection.chunk("id: 1\ndata: a\n\n");
        sleep(STREAM_MILLIS);
        connection.chunk("id: 2\ndata: b\n\n");
        connection.endStream();
    }

    private void largeAnswer(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        arrived.complete(null);
        mayAnswer.join();
        connection.answer(request, "x".repeat(LARGE_BYTES));
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordStreamDurations(String path) {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            String id = "learnt" + i;
            answers.add(CompletableFuture.supplyAsync(() -> entry.ask(path, id, PROMPT_TOKENS_HEADER), threads));
        }
        answers.forEach(answer -> assertThat(answer.join()).endsWith("0\r\n\r\n"));
    }

    /** Ends the process as the stop signal does: requests that are still in progress after the grace period are cut. */
    private CompletableFuture<Void> shutDown(long graceMillis) {
        return CompletableFuture.runAsync(
                () -> {
                    entry.process().drain(graceMillis);
                    entry.process().stop();
                },
                threads);
    }

    private static String requestText(String id) {
        return "POST /once/x HTTP/1.1\r\nHost: h\r\nx-id: " + id + "\r\nx-patience: 20000\r\nContent-Length: 0\r\n\r\n";
    }

    private Socket connectWithSmallWindow() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_WINDOW_BYTES);
        InetSocketAddress address = entry.address();
        socket.connect(address);
        return socket;
    }

    private static void write(Socket caller, String text) throws IOException {
        caller.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the number of bytes received until the connection ends, in order or with a reset. */
    private static long readAll(Socket caller) throws IOException {
        InputStream in = caller.getInputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            in.transferTo(all);
        } catch (IOException reset) {
            // The bytes received before the reset count.
        }
        return all.size();
    }

    /** The second request is queued and never started: it must not take over the connection of the first. */
    @Test
    void aRequestCutAtTheEndGetsAnErrorAlthoughAnotherIsQueuedBehindIt() throws Exception {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write(requestText("first") + requestText("second"));
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> shutdown = shutDown(800);
            assertThat(caller.readAll()).startsWith("HTTP/1.1 502").contains("this entry stops");
            shutdown.join();
        }
        assertThat(service.runs()).hasSize(1);
    }

    /** The answer has been written to the connection but not received by the caller: the process must not end yet. */
    @Test
    void anAnswerThatItsCallerReadsSlowlyIsCompleteAlthoughNothingElseIsInProgress() throws Exception {
        try (Socket caller = connectWithSmallWindow()) {
            write(caller, requestText("slow"));
            mayAnswer.complete(null);
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> shutdown = shutDown(12_000);
            sleep(5_000);
            assertThat(readAll(caller)).isGreaterThan(LARGE_BYTES);
            shutdown.join();
        }
    }

    /** A caller that is still sending a long prompt gets an answer or a refusal in time, not a lost connection. */
    @Test
    void aRequestThatIsStillBeingSentKeepsTheEntryFromEndingEarly() throws Exception {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write("POST /once/x HTTP/1.1\r\nHost: h\r\nx-id: long\r\nContent-Length: 2\r\n\r\nh");
            sleep(100);
            CompletableFuture<Void> shutdown = shutDown(8_000);
            sleep(4_000);
            caller.write("i");
            assertThat(caller.readAll()).startsWith("HTTP/1.1 503").contains("x-come-back: ");
            shutdown.join();
        }
    }

    @Test
    void anEntryWithNothingInProgressEndsLongBeforeItsGracePeriod() throws Exception {
        service.script((request, connection) -> {
            arrived.complete(null);
            mayAnswer.join();
            connection.answer(request, "late but whole");
        });
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write(requestText("last"));
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> shutdown = shutDown(60_000);
            sleep(4_000);
            assertThat(shutdown).as("a request is in progress").isNotDone();
            mayAnswer.complete(null);
            assertThat(caller.readAll()).endsWith("late but whole");
            shutdown.get(5, TimeUnit.SECONDS);
        }
    }

    /**
     * Guards against a request that is forwarded but never answered: between its end and the end of its process an entry
     * writes its last answers, while a caller may still send a request on an idle connection.
     */
    @Test
    void aRequestThatArrivesWhenTheEntryHasEndedIsNotForwarded() throws Exception {
        service.script((request, connection) -> connection.answer(request, "whole"));
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write(requestText("before"));
            awaitFirstRun();
            assertThat(service.runs()).hasSize(1);
            CompletableFuture<Void> shutdown = shutDown(60_000);
            awaitClosedListener();
            try {
                caller.write(requestText("crossing"));
            } catch (IllegalStateException expected) {
                // The connection is already closed.
            }
            shutdown.get(5, TimeUnit.SECONDS);
            assertThat(service.runs()).hasSize(1);
        }
    }

    private void awaitFirstRun() {
        for (int i = 0; i < 5_000 && service.runs().isEmpty(); i++) {
            sleep(1);
        }
    }

    private void awaitClosedListener() {
        boolean listening = true;
        while (listening) {
            try (Socket probe = new Socket()) {
                probe.connect(entry.address());
                sleep(1);
            } catch (IOException refused) {
                listening = false;
            }
        }
    }

    /** Its answer could no longer be delivered, because the first answer announces that the connection closes. */
    @Test
    void aRequestBehindAnAnswerThatClosesTheConnectionIsNotRun() throws Exception {
        service.script((request, connection) -> connection.answer(request, "quick"));
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            assertThat(entry.ask("/once/x", "learnt" + i)).startsWith("HTTP/1.1 200");
        }
        service.script(this::largeAnswer);
        try (Socket caller = connectWithSmallWindow()) {
            write(caller, requestText("first") + requestText("second"));
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> shutdown = shutDown(8_000);
            sleep(200);
            mayAnswer.complete(null);
            sleep(1_000);
            assertThat(readAll(caller)).as("the first answer is complete").isGreaterThan(LARGE_BYTES);
            shutdown.join();
        }
        assertThat(service.runs())
                .extracting(run -> run.header("x-id"))
                .contains("first")
                .doesNotContain("second");
    }

    /** Its rest is shorter than a complete stream, and it can no longer be refused because its caller has a part of it. */
    @Test
    void aStartedStreamResumesAtAnotherEngineAlthoughACompleteOneWouldNotEndInTime() throws Exception {
        recordStreamDurations("/resumable/x");
        engine.script((request, connection) -> {
            if (request.path().startsWith("/control/")) {
                connection.answer(request, "booking");
                return;
            }
            connection.beginStream(request);
            if (!request.headers().containsKey("x-resume")) {
                connection.chunk("id: 1\ndata: a\n\n");
                sleep(STREAM_MILLIS);
                connection.reset();
                return;
            }
            connection.chunk("id: 2\ndata: b\n\n");
            connection.endStream();
        });
        CompletableFuture<String> answer =
                CompletableFuture.supplyAsync(() -> entry.ask("/resumable/x", "broken", PROMPT_TOKENS_HEADER), threads);
        sleep(200);
        CompletableFuture<Void> shutdown = shutDown(GRACE_MILLIS);
        assertThat(answer.join()).contains("id: 1").contains("id: 2").endsWith("0\r\n\r\n");
        shutdown.join();
    }

    /** A full service has capacity again long before this entry, which still accepts such calls, ends. */
    @Test
    void aCallRefusedByAFullServiceIsNotToldToWaitUntilTheDrainingEntryIsReplaced() {
        service.script((request, connection) -> connection.answer(request, "quick"));
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            assertThat(entry.ask("/once/x", "learnt" + i)).startsWith("HTTP/1.1 200");
        }
        CompletableFuture<Void> shutdown = shutDown(8_000);
        service.script((request, connection) -> connection.reject(request));
        for (int i = 0; i < 33; i++) {
            entry.ask("/once/x", "kept" + i, SHORT_PATIENCE);
            sleep(100);
        }
        String refused = entry.ask("/once/x", "full", SHORT_PATIENCE);
        service.script((request, connection) -> connection.answer(request, "quick"));
        assertThat(refused).startsWith("HTTP/1.1 503").contains("the service is full");
        assertThat(retryAfterMillis(refused)).isLessThan(1_000);
        assertThat(entry.ask("/once/x", "again", SHORT_PATIENCE)).startsWith("HTTP/1.1 200");
        shutdown.join();
    }

    private static long retryAfterMillis(String answer) {
        String name = "x-come-back: ";
        int at = answer.indexOf(name) + name.length();
        return Long.parseLong(answer.substring(at, answer.indexOf('\r', at)));
    }

    /** A connection that ends without an answer reports no outcome, so its request must not have reached any endpoint. */
    @Test
    void aRequestWithoutAnAnswerAtTheEndHasNotRun() {
        service.script((request, connection) -> connection.answer(request, "quick"));
        recordStreamDurations("/stream/x");
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            assertThat(entry.ask("/once/x", "learnt" + i)).startsWith("HTTP/1.1 200");
        }
        CompletableFuture<Void> shutdown = shutDown(GRACE_MILLIS);
        List<CompletableFuture<List<String>>> answers = new ArrayList<>();
        while (!shutdown.isDone()) {
            answers.add(ask("/once/x", "call" + answers.size()));
            answers.add(ask("/stream/x", "stream" + answers.size()));
            sleep(5);
        }
        List<String> ran = new ArrayList<>();
        engine.runs().forEach(run -> ran.add(run.header("x-id")));
        service.runs().forEach(run -> ran.add(run.header("x-id")));
        assertThat(answers).extracting(CompletableFuture::join).allSatisfy(answer -> {
            if (!answer.get(1).startsWith("HTTP/1.1 ")) {
                assertThat(ran).doesNotContain(answer.get(0));
            }
        });
    }

    /** Returns the id and the answer, which is empty if the entry has ended. */
    private CompletableFuture<List<String>> ask(String path, String id) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return List.of(id, entry.ask(path, id, PROMPT_TOKENS_HEADER));
                    } catch (IllegalStateException closed) {
                        return List.of(id, "");
                    }
                },
                threads);
    }

    @Test
    void aSecondSignalDoesNotPostponeTheEndOfTheGracePeriod() {
        recordStreamDurations("/stream/x");
        CompletableFuture<Void> shutdown = shutDown(GRACE_MILLIS);
        sleep(1_300);
        CompletableFuture<Void> secondShutdown = shutDown(GRACE_MILLIS);
        sleep(100);
        assertThat(entry.ask("/stream/x", "late", PROMPT_TOKENS_HEADER)).startsWith("HTTP/1.1 503");
        shutdown.join();
        secondShutdown.join();
    }

    /** Without a length or chunks an answer ends with its connection, so an orderly close would mark it as complete. */
    @Test
    void anAnswerDelimitedByTheConnectionDoesNotLookCompleteWhenItIsCut() throws Exception {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write("POST /stream/x HTTP/1.0\r\nHost: h\r\nx-id: old\r\n" + PROMPT_TOKENS_HEADER
                    + "\r\nContent-Length: 0\r\n\r\n");
            assertThat(caller.readUntil("data: a\n\n")).startsWith("HTTP/1.1 200");
            CompletableFuture<Void> shutdown = shutDown(600);
            assertThat(caller.readAll()).endsWith("[reset]");
            shutdown.join();
        }
    }

    /** Failures are faster than successful answers, so they must not count in the estimate of how long an answer takes. */
    @Test
    void quickFailuresDoNotLowerTheExpectedDurationOfACall() {
        service.script((request, connection) -> connection.write("HTTP/1.1 500 Failed\r\nx-id: "
                + request.header("x-id") + "\r\nx-signature: s\r\nContent-Length: 0\r\n\r\n"));
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            entry.ask("/once/x", "failed" + i);
        }
        service.script((request, connection) -> {
            sleep(STREAM_MILLIS);
            connection.answer(request, "good");
        });
        CompletableFuture<Void> shutdown = shutDown(1_500);
        sleep(100);
        assertThat(entry.ask("/once/x", "long")).startsWith("HTTP/1.1 503");
        shutdown.join();
    }
}
