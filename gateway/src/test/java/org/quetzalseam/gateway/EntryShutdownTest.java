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

/** What becomes of the requests that a leaving entry has, when it ends and when something goes wrong before that. */
@Timeout(60)
class EntryShutdownTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    /** How long each whole stream of the engine lasts, in milliseconds. */
    private static final long STREAM_MILLIS = 1_500;
    /** Streams from which the entry can learn how long they last. */
    private static final int SAMPLE_COUNT = 20;
    /** The grace period, in milliseconds: long enough for one stream that begins at once, too short for one begun later. */
    private static final long GRACE_MILLIS = 3_000;
    /** A body that doesn't fit the buffers between an entry and a caller who doesn't read. */
    private static final int LARGE_BYTES = 7 * 1024 * 1024;
    /** What a caller who reads late lets in before that, in bytes. */
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

    /** Ends the process as the signal to stop does: what is still under way after the grace period is cut. */
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

    /** Returns how many bytes come, and whether they end with a reset. */
    private static long readAll(Socket caller) throws IOException {
        InputStream in = caller.getInputStream();
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        try {
            in.transferTo(all);
        } catch (IOException reset) {
            // What came before it counts.
        }
        return all.size();
    }

    /** The one behind waits for its turn and is never begun: it must not take the connection from the one before it. */
    @Test
    void aRequestCutAtTheEndGetsAnErrorAlthoughAnotherIsQueuedBehindIt() throws Exception {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write(requestText("first") + requestText("second"));
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> left = shutDown(800);
            assertThat(caller.readAll()).startsWith("HTTP/1.1 502").contains("this entry stops");
            left.join();
        }
        assertThat(service.runs()).hasSize(1);
    }

    /** The answer has been handed to the connection, not to the caller: the process mustn't end with it. */
    @Test
    void anAnswerThatItsCallerReadsSlowlyIsCompleteAlthoughNothingElseIsInProgress() throws Exception {
        try (Socket caller = connectWithSmallWindow()) {
            write(caller, requestText("slow"));
            mayAnswer.complete(null);
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> left = shutDown(12_000);
            sleep(5_000);
            assertThat(readAll(caller)).isGreaterThan(LARGE_BYTES);
            left.join();
        }
    }

    /** Its caller sends a long prompt: it gets an answer or a refusal while there is time for one, not a lost connection. */
    @Test
    void aRequestThatIsStillBeingSentKeepsTheEntryFromEndingEarly() throws Exception {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write("POST /once/x HTTP/1.1\r\nHost: h\r\nx-id: long\r\nContent-Length: 2\r\n\r\nh");
            sleep(100);
            CompletableFuture<Void> left = shutDown(8_000);
            sleep(4_000);
            caller.write("i");
            assertThat(caller.readAll()).startsWith("HTTP/1.1 503").contains("x-come-back: ");
            left.join();
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
            CompletableFuture<Void> left = shutDown(60_000);
            sleep(4_000);
            assertThat(left).as("something is under way").isNotDone();
            mayAnswer.complete(null);
            assertThat(caller.readAll()).endsWith("late but whole");
            left.get(5, TimeUnit.SECONDS);
        }
    }

    /**
     * Between its end and that of its process an entry writes its last answers. What a caller sends on an idle connection in that time
     * could be passed on and not be answered any more.
     */
    @Test
    void aRequestThatArrivesWhenTheEntryHasEndedIsNotForwarded() throws Exception {
        service.script((request, connection) -> connection.answer(request, "whole"));
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write(requestText("before"));
            awaitFirstRun();
            assertThat(service.runs()).hasSize(1);
            CompletableFuture<Void> left = shutDown(60_000);
            awaitClosedListener();
            try {
                caller.write(requestText("crossing"));
            } catch (IllegalStateException expected) {
                // The connection is closed already.
            }
            left.get(5, TimeUnit.SECONDS);
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

    /** Its answer could not be given any more: the connection is announced to close. */
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
            CompletableFuture<Void> left = shutDown(8_000);
            sleep(200);
            mayAnswer.complete(null);
            sleep(1_000);
            assertThat(readAll(caller)).as("the first answer is whole").isGreaterThan(LARGE_BYTES);
            left.join();
        }
        assertThat(service.runs())
                .extracting(run -> run.header("x-id"))
                .contains("first")
                .doesNotContain("second");
    }

    /** What is left of it is shorter than a whole one, and it can't be refused any more: its caller has a part of it. */
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
        CompletableFuture<Void> left = shutDown(GRACE_MILLIS);
        assertThat(answer.join()).contains("id: 1").contains("id: 2").endsWith("0\r\n\r\n");
        left.join();
    }

    /** A full service has room again long before this entry ends, which still takes such calls. */
    @Test
    void aCallRefusedByAFullServiceIsNotToldToWaitUntilTheDrainingEntryIsReplaced() {
        service.script((request, connection) -> connection.answer(request, "quick"));
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            assertThat(entry.ask("/once/x", "learnt" + i)).startsWith("HTTP/1.1 200");
        }
        CompletableFuture<Void> left = shutDown(8_000);
        service.script((request, connection) -> connection.reject(request));
        for (int i = 0; i < 33; i++) {
            entry.ask("/once/x", "kept" + i);
            sleep(100);
        }
        String refused = entry.ask("/once/x", "full");
        service.script((request, connection) -> connection.answer(request, "quick"));
        assertThat(refused).startsWith("HTTP/1.1 503").contains("the service is full");
        assertThat(retryAfterMillis(refused)).isLessThan(1_000);
        assertThat(entry.ask("/once/x", "again")).startsWith("HTTP/1.1 200");
        left.join();
    }

    private static long retryAfterMillis(String answer) {
        String name = "x-come-back: ";
        int at = answer.indexOf(name) + name.length();
        return Long.parseLong(answer.substring(at, answer.indexOf('\r', at)));
    }

    /** A connection that ends without an answer says nothing: its request must not have reached anybody. */
    @Test
    void aRequestWithoutAnAnswerAtTheEndHasNotRun() {
        service.script((request, connection) -> connection.answer(request, "quick"));
        recordStreamDurations("/stream/x");
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            assertThat(entry.ask("/once/x", "learnt" + i)).startsWith("HTTP/1.1 200");
        }
        CompletableFuture<Void> left = shutDown(GRACE_MILLIS);
        List<CompletableFuture<List<String>>> answers = new ArrayList<>();
        while (!left.isDone()) {
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

    /** Returns the id and the answer, empty where the entry has gone. */
    private CompletableFuture<List<String>> ask(String path, String id) {
        return CompletableFuture.supplyAsync(
                () -> {
                    try {
                        return List.of(id, entry.ask(path, id, PROMPT_TOKENS_HEADER));
                    } catch (IllegalStateException gone) {
                        return List.of(id, "");
                    }
                },
                threads);
    }

    @Test
    void aSecondSignalDoesNotPostponeTheEndOfTheGracePeriod() {
        recordStreamDurations("/stream/x");
        CompletableFuture<Void> left = shutDown(GRACE_MILLIS);
        sleep(1_300);
        CompletableFuture<Void> again = shutDown(GRACE_MILLIS);
        sleep(100);
        assertThat(entry.ask("/stream/x", "late", PROMPT_TOKENS_HEADER)).startsWith("HTTP/1.1 503");
        left.join();
        again.join();
    }

    /** Without a length or chunks its end is the connection's: an orderly one would say that it is complete. */
    @Test
    void anAnswerDelimitedByTheConnectionDoesNotLookCompleteWhenItIsCut() throws Exception {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write("POST /stream/x HTTP/1.0\r\nHost: h\r\nx-id: old\r\n" + PROMPT_TOKENS_HEADER
                    + "\r\nContent-Length: 0\r\n\r\n");
            assertThat(caller.readUntil("data: a\n\n")).startsWith("HTTP/1.1 200");
            CompletableFuture<Void> left = shutDown(600);
            assertThat(caller.readAll()).endsWith("[reset]");
            left.join();
        }
    }

    /** Failures come faster than what they stand for: they tell nothing of how long a good answer takes. */
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
        CompletableFuture<Void> left = shutDown(1_500);
        sleep(100);
        assertThat(entry.ask("/once/x", "long")).startsWith("HTTP/1.1 503");
        left.join();
    }
}
