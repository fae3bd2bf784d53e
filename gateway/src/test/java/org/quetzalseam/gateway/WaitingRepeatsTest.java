package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests repeats that wait between the decision and their arrival at an engine. */
@Timeout(60)
class WaitingRepeatsTest {
    private static final long WINDOW_MILLIS = 10_000;
    /** How long the first repeats wait, in milliseconds: until the window in which they were decided has nearly passed. */
    private static final long WAIT_MILLIS = 7_000;
    /** Repeats of all entries in a window, of which four fifths are used. */
    private static final int SLACK_RETRIES = 10;

    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    private static final String PATIENCE_HEADER = "x-patience: 14000";
    private static final String EARLY = "early-";
    private static final int EARLY_REQUESTS = 4;
    private static final int LATE_REQUESTS = 10;

    private final TestEntry entry = new TestEntry(0, SLACK_RETRIES);
    private final ScriptedEndpoint prefill = new ScriptedEndpoint("prefill", this::prefill);
    private final ScriptedEndpoint decode = new ScriptedEndpoint("decode", this::decode);
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CountDownLatch promptsRead = new CountDownLatch(1);
    private final Map<String, Integer> sendings = new ConcurrentHashMap<>();
    private final List<Long> repeatedAt = new CopyOnWriteArrayList<>();

    /** Returns how often a request has arrived at engines of a stage, this time included. */
    private int arrivals(String stage, RawRequest request) {
        int count = sendings.merge(stage + request.header("x-id"), 1, Integer::sum);
        if (count > 1) {
            repeatedAt.add(System.nanoTime());
        }
        return count;
    }

    private void prefill(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        boolean waits = arrivals("prefill", request) > 1;
        try {
            if (waits) {
                promptsRead.await();
            }
            connection.answer(request, "kv");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void decode(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/")) {
            connection.answer(request, "booking");
        } else if (arrivals("decode", request) == 1) {
            connection.reject(request);
        } else {
            connection.beginStream(request);
            connection.chunk("id: 1\ndata: a\n\n");
            connection.endStream();
        }
    }

    @AfterEach
    void stop() {
        promptsRead.countDown();
        threads.shutdownNow();
        entry.close();
        prefill.close();
        decode.close();
    }

    // Guards against repeats that were decided over some time and arrive together, beside those that are decided then.
    @Test
    void repeatsThatArriveAfterAWaitCountInTheWindowInWhichTheyArrive() throws Exception {
        entry.updateRoutes(14_000);
        entry.updateEntryCount(1);
        entry.awaitFullSlack();
        entry.updateEndpoints(prefill.member("s", Stage.PREFILL), decode.member("s", Stage.DECODE));
        List<Future<String>> early = new ArrayList<>();
        for (int i = 0; i < EARLY_REQUESTS; i++) {
            String id = EARLY + i;
            early.add(threads.submit(() -> entry.ask("/stream/x", id, PROMPT_TOKENS_HEADER, PATIENCE_HEADER)));
        }
        TimeUnit.MILLISECONDS.sleep(WAIT_MILLIS);
        promptsRead.countDown();
        for (Future<String> answer : early) {
            assertThat(answer.get()).startsWith("HTTP/1.1 200 OK");
        }
        entry.updateEndpoints(decode.member("s", Stage.DECODE));
        TimeUnit.MILLISECONDS.sleep(WINDOW_MILLIS - WAIT_MILLIS + 100);
        for (int i = 0; i < LATE_REQUESTS; i++) {
            entry.ask("/stream/x", "late-" + i);
        }
        for (long start : repeatedAt) {
            long window = TimeUnit.MILLISECONDS.toNanos(WINDOW_MILLIS);
            assertThat(repeatedAt.stream().filter(at -> at >= start && at - start < window))
                    .as("repeated arrivals in one window")
                    .hasSizeLessThanOrEqualTo(SLACK_RETRIES);
        }
        assertThat(repeatedAt).hasSizeGreaterThan(2 * EARLY_REQUESTS);
    }
}
