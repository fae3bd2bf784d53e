package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

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

/**
 * Tests which requests an entry still accepts after the signal to stop.
 *
 * <p>Guards against a stream that is accepted during the grace period and cut at its end, although engine and network
 * work. When all entries of a site were stopped a second apart, one accepted a stream 3.02 s after its signal and cut
 * it 4.7 s later, when its grace period of 8 s ended ({@code requests_cut=1} in its log). That happens if the only
 * bound is the end of listening, which is checked every 50 ms, and nothing compares the expected duration of a request
 * with the time left: five streams that had just ended had lasted longer than that. Such a request can be sent during
 * the grace period, or be partly received before the signal; both cases are tested.
 */
@Timeout(60)
class DrainingEntryTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    private static final String SHORT_PATIENCE = "x-patience: 500";
    /** Duration of each stream of the engine, in milliseconds. */
    private static final long STREAM_MILLIS = 1_500;
    /** Number of requests from whose durations the entry estimates how long another one takes. */
    private static final int SAMPLE_COUNT = 20;
    /** Grace period, in milliseconds: long enough for a stream that starts at once, too short for one that starts later. */
    private static final long GRACE_MILLIS = 3_000;

    private final TestEntry entry = new TestEntry();
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final ScriptedEndpoint engine = new ScriptedEndpoint("engine", this::slowStream);
    private final ScriptedEndpoint service = new ScriptedEndpoint("service", (request, connection) -> {
        connection.answer(request, "quick");
    });

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000, 1_000);
        entry.updateEndpoints(engine.member("s", Stage.DECODE), service.member("s", Stage.WHOLE));
    }

    @AfterEach
    void stop() {
        entry.close();
        engine.close();
        service.close();
        threads.shutdownNow();
    }

    private void slowStream(RawRequest request, ScriptedEndpoint.Connection connection) throws java.io.IOException {
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

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void recordStreamDurations() {
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            String id = "learnt" + i;
            answers.add(CompletableFuture.supplyAsync(() -> entry.ask("/stream/x", id, PROMPT_TOKENS_HEADER), threads));
        }
        answers.forEach(answer -> assertThat(answer.join()).endsWith("0\r\n\r\n"));
    }

    private void recordCallDurations() {
        for (int i = 0; i < SAMPLE_COUNT; i++) {
            assertThat(entry.ask("/many/x", "call" + i)).startsWith("HTTP/1.1 200");
        }
    }

    /** Ends the process as the stop signal does: requests that are still in progress after the grace period are cut. */
    private CompletableFuture<Void> shutDown() {
        return shutDown(GRACE_MILLIS);
    }

    private CompletableFuture<Void> shutDown(long graceMillis) {
        return CompletableFuture.runAsync(
                () -> {
                    entry.process().drain(graceMillis);
                    entry.process().stop();
                },
                threads);
    }

    @Test
    void aStreamThatWouldOutlastTheGracePeriodIsRefusedInsteadOfCut() {
        recordStreamDurations();
        CompletableFuture<Void> shutdown = shutDown();
        sleep(1_300);
        int runsBefore = engine.runs().size();
        String answer = entry.ask("/stream/x", "late", PROMPT_TOKENS_HEADER);
        assertThat(answer).startsWith("HTTP/1.1 503").contains("x-come-back: ").contains("connection: close");
        assertThat(engine.runs()).as("nothing of it has run").hasSize(runsBefore);
        shutdown.join();
    }

    @Test
    void aStreamThatEndsWithinTheGracePeriodIsStillAccepted() {
        recordStreamDurations();
        CompletableFuture<Void> shutdown = shutDown();
        sleep(100);
        assertThat(entry.ask("/stream/x", "soon", PROMPT_TOKENS_HEADER))
                .startsWith("HTTP/1.1 200")
                .endsWith("0\r\n\r\n");
        shutdown.join();
    }

    /**
     * Callers that no balancer redirects keep sending until the end. Each gets a complete answer or a refusal with a retry
     * time; calls that end in time by their deadline are answered long after a balancer must have noticed the shutdown, because
     * there may be no other entry; and the entry ends in time.
     */
    @Test
    void anEntryUnderConstantLoadCutsNothingAndServesWhatItCanUntilItEnds() {
        recordStreamDurations();
        recordCallDurations();
        long grace = 5_000;
        long startNanos = System.nanoTime();
        CompletableFuture<Void> shutdown = shutDown(grace);
        List<CompletableFuture<String>> streams = new ArrayList<>();
        long lastServed = 0;
        while (!shutdown.isDone()) {
            String id = "r" + streams.size();
            streams.add(CompletableFuture.supplyAsync(() -> askOrEmpty("/stream/x", id), threads));
            String patient = askOrEmpty("/many/x", id + "p");
            assertThat(patient).matches(answer -> answer.startsWith("HTTP/1.1 200") || isRefusedOrUnread(answer));
            String quick = askOrEmpty("/many/x", id + "q", SHORT_PATIENCE);
            if (quick.startsWith("HTTP/1.1 200")) {
                lastServed = elapsedMillis(startNanos);
            } else {
                assertThat(quick).matches(DrainingEntryTest::isRefusedOrUnread);
            }
            sleep(20);
        }
        assertThat(elapsedMillis(startNanos)).isBetween(grace - 1_000, grace);
        assertThat(lastServed).isGreaterThan(grace - 1_500);
        assertThat(streams)
                .extracting(CompletableFuture::join)
                .allMatch(answer -> answer.endsWith("0\r\n\r\n") || isRefusedOrUnread(answer))
                .anyMatch(answer -> answer.startsWith("HTTP/1.1 503"))
                .anyMatch(answer -> answer.startsWith("HTTP/1.1 200"));
    }

    private static long elapsedMillis(long startNanos) {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
    }

    /** Returns an empty answer if the entry has ended, or ends before it has read the request. */
    private String askOrEmpty(String path, String id, String... headers) {
        try {
            List<String> all = new ArrayList<>(List.of(headers));
            all.add(PROMPT_TOKENS_HEADER);
            return entry.ask(path, id, all.toArray(String[]::new));
        } catch (IllegalStateException closed) {
            return "";
        }
    }

    private static boolean isRefusedOrUnread(String answer) {
        boolean refused = answer.startsWith("HTTP/1.1 503") && answer.contains("x-come-back: ");
        return refused || answer.isEmpty() || answer.equals(" [reset]");
    }

    @Test
    void aRequestWhoseLastBytesArriveLateInTheGracePeriodIsRefusedInsteadOfCut() {
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write("POST /stream/x HTTP/1.1\r\nHost: h\r\nx-id: slow\r\n" + PROMPT_TOKENS_HEADER
                    + "\r\nContent-Length: 2\r\n\r\nh");
            sleep(100);
            CompletableFuture<Void> shutdown = shutDown();
            sleep(1_300);
            caller.write("i");
            assertThat(caller.readAll()).startsWith("HTTP/1.1 503").contains("x-come-back: ");
            shutdown.join();
        }
        assertThat(engine.runs()).isEmpty();
    }
}
