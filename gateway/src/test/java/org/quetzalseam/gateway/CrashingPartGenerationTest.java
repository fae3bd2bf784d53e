package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests one entry, without a store, whose decode engines end when they answer prompts that hold a certain part. */
class CrashingPartGenerationTest {
    private static final String QUARANTINED =
            "endpoints have crashed while they ran requests with a part of this prompt";
    private static final int SUSPECT_CRASHES = 5;
    /** Time in which an entry has taken in what a test did, in milliseconds. */
    private static final long CHECK_MILLIS = 100;
    /** Limit for the entry to learn that a lost connection was a crash, in seconds. */
    private static final long CRASH_COUNTED_SECONDS = 5;
    /** More than the time from the fifth crash to the first probe, in milliseconds. */
    private static final long FIRST_PROBE_MILLIS = 400;

    private static final String TOKENS = "x-tokens: 1000";
    private static final String FIRST_PART = "x-part: 5a";
    private static final String CRASHING_PART = "x-part: bad";

    private final TestEntry entry = new TestEntry();
    private final List<ScriptedEndpoint> engines = new ArrayList<>();
    private final Logger guardLogger = Logger.getLogger("org.quetzalseam.gateway.crash.CrashGuard");
    private final Semaphore crashesCounted = new Semaphore(0);
    private final Handler counter = new Handler() {
        @Override
        public void publish(LogRecord line) {
            if (line.getMessage().contains("event=crash-counted")) {
                crashesCounted.release();
            }
        }

        @Override
        public void flush() {}

        @Override
        public void close() {}
    };
    /** Requests whose answers no test needs. */
    private final List<CompletableFuture<String>> asked = new ArrayList<>();

    private final AtomicInteger paths = new AtomicInteger();

    @BeforeEach
    void start() {
        guardLogger.addHandler(counter);
        entry.updateRoutes(5_000);
    }

    @AfterEach
    void stop() {
        guardLogger.removeHandler(counter);
        entry.close();
        engines.forEach(ScriptedEndpoint::close);
    }

    private ScriptedEndpoint engine(ScriptedEndpoint.Script script) {
        ScriptedEndpoint engine = new ScriptedEndpoint("engine-" + engines.size(), script);
        engines.add(engine);
        return engine;
    }

    private void use(Member... members) {
        entry.updateEndpoints(members);
    }

    private void use(ScriptedEndpoint decodeEngine) {
        use(decodeEngine.member("s", Stage.DECODE));
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

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a request that no other is like. */
    private String ask(String... headers) {
        int number = paths.getAndIncrement();
        return entry.ask("/stream/" + number, "r" + number, headers);
    }

    /** Has engines end one after the other, each while it answers a request of its own. */
    private void crashEngines(int number, String... headers) {
        for (int i = 0; i < number; i++) {
            ScriptedEndpoint engine = engine((request, connection) -> {});
            engine.script((request, connection) -> {
                if (request.path().startsWith("/control/")) {
                    connection.reject(request);
                    return;
                }
                connection.beginStream(request);
                engine.close();
            });
            use(engine);
            ask(headers);
            awaitCrashCounted();
        }
    }

    private void awaitCrashCounted() {
        try {
            assertThat(crashesCounted.tryAcquire(CRASH_COUNTED_SECONDS, TimeUnit.SECONDS))
                    .as("the crash is counted")
                    .isTrue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Has a request with the part sent as a probe that does not end, so that no other request may be one. */
    private void occupyProbe() {
        ScriptedEndpoint slow = engine((request, connection) -> {
            connection.beginStream(request);
            connection.awaitClosed();
        });
        use(slow);
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(CRASH_COUNTED_SECONDS);
        while (slow.runs().isEmpty() && System.nanoTime() - deadline < 0) {
            asked.add(CompletableFuture.supplyAsync(() -> ask(FIRST_PART, CRASHING_PART)));
            pause(CHECK_MILLIS);
        }
        assertThat(slow.runs()).as("the probe").hasSize(1);
    }

    // Guards against a part that has crashed five engines being sent to a sixth with a request that was never sent
    // before.
    @Test
    void aRequestWithAPartThatHasCrashedFiveEnginesIsRefusedAtOnce() {
        crashEngines(SUSPECT_CRASHES, FIRST_PART, CRASHING_PART);
        occupyProbe();
        ScriptedEndpoint sixth = engine(CrashingPartGenerationTest::decode);
        use(sixth);
        assertThat(ask(FIRST_PART, CRASHING_PART))
                .startsWith("HTTP/1.1 503")
                .contains(QUARANTINED)
                .contains("x-come-back:");
        assertThat(sixth.runs()).isEmpty();
    }

    // Guards against requests being refused that share the other parts of those that crash engines.
    @Test
    void aRequestWithTheSameFirstPartIsServedAfterFiveCrashes() {
        use(engine(CrashingPartGenerationTest::decode));
        assertThat(ask(FIRST_PART)).startsWith("HTTP/1.1 200");
        crashEngines(SUSPECT_CRASHES, FIRST_PART, CRASHING_PART);
        use(engine(CrashingPartGenerationTest::decode));
        assertThat(ask(FIRST_PART, "x-part: d0")).startsWith("HTTP/1.1 200");
        assertThat(ask(FIRST_PART)).startsWith("HTTP/1.1 200");
    }

    // Guards against a prompt being prefilled, and its memory being held, that no engine may answer any more.
    @Test
    void aPromptThatWaitsForMemoryIsNotPrefilledAfterTheFifthCrash() {
        AtomicBoolean full = new AtomicBoolean(true);
        ScriptedEndpoint fullEngine = engine((request, connection) -> {
            if (request.path().startsWith("/control/") && full.get()) {
                connection.reject(request);
            } else {
                decode(request, connection);
            }
        });
        ScriptedEndpoint prefillEngine = engine((request, connection) -> connection.answer(request, "kv"));
        Member[] members = {fullEngine.member("s", Stage.DECODE), prefillEngine.member("s", Stage.PREFILL)};
        use(members);
        CompletableFuture<String> waiting = CompletableFuture.supplyAsync(() -> ask(TOKENS, FIRST_PART, CRASHING_PART));
        pause(CHECK_MILLIS);
        crashEngines(SUSPECT_CRASHES, FIRST_PART, CRASHING_PART);
        full.set(false);
        use(members);
        assertThat(waiting.join()).startsWith("HTTP/1.1 503").contains(QUARANTINED);
        assertThat(prefillEngine.runs()).isEmpty();
        assertThat(fullEngine.runs()).isEmpty();
    }

    // Guards against a decode engine prefilling a prompt itself that no engine may answer any more.
    @Test
    void aPromptThatWaitsForMemoryIsNotPrefilledByADecodeEngineAfterTheFifthCrash() {
        AtomicBoolean full = new AtomicBoolean(true);
        ScriptedEndpoint engine = engine((request, connection) -> {
            if (request.path().startsWith("/control/") && full.get()) {
                connection.reject(request);
            } else {
                decode(request, connection);
            }
        });
        use(engine);
        CompletableFuture<String> waiting = CompletableFuture.supplyAsync(() -> ask(TOKENS, FIRST_PART, CRASHING_PART));
        pause(CHECK_MILLIS);
        crashEngines(SUSPECT_CRASHES, FIRST_PART, CRASHING_PART);
        full.set(false);
        use(engine);
        assertThat(waiting.join()).startsWith("HTTP/1.1 503").contains(QUARANTINED);
        assertThat(engine.runs()).isEmpty();
    }

    // Guards against a prompt being decoded whose prefill was under way at the fifth crash.
    @Test
    void aPromptThatIsPrefilledAtTheFifthCrashIsNotDecoded() throws InterruptedException {
        CountDownLatch prefilling = new CountDownLatch(1);
        CountDownLatch crashed = new CountDownLatch(1);
        ScriptedEndpoint decodeEngine = engine(CrashingPartGenerationTest::decode);
        ScriptedEndpoint prefillEngine = engine((request, connection) -> {
            if (!request.path().startsWith("/control/")) {
                prefilling.countDown();
                awaitQuietly(crashed);
            }
            connection.answer(request, "kv");
        });
        use(decodeEngine.member("s", Stage.DECODE), prefillEngine.member("s", Stage.PREFILL));
        CompletableFuture<String> waiting = CompletableFuture.supplyAsync(() -> ask(TOKENS, FIRST_PART, CRASHING_PART));
        prefilling.await();
        crashEngines(SUSPECT_CRASHES, FIRST_PART, CRASHING_PART);
        crashed.countDown();
        assertThat(waiting.join()).startsWith("HTTP/1.1 503").contains(QUARANTINED);
        assertThat(decodeEngine.runs()).isEmpty();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Guards against a part being cleared by a stream that has begun, or that its caller has ended.
    @Test
    void aStreamThatIsNotCompleteDoesNotClearAPart() {
        crashEngines(SUSPECT_CRASHES - 1, FIRST_PART, CRASHING_PART);
        CountDownLatch begun = new CountDownLatch(1);
        use(engine((request, connection) -> {
            if (request.path().startsWith("/control/")) {
                connection.answer(request, "");
                return;
            }
            connection.beginStream(request);
            connection.chunk("id: 1\ndata: a\n\n");
            begun.countDown();
            connection.awaitClosed();
        }));
        try (TestEntry.Caller caller = entry.caller()) {
            caller.send("/stream/left", "left", FIRST_PART, CRASHING_PART);
            awaitQuietly(begun);
        }
        pause(CHECK_MILLIS);
        crashEngines(1, FIRST_PART, CRASHING_PART);
        occupyProbe();
        use(engine(CrashingPartGenerationTest::decode));
        assertThat(ask(FIRST_PART, CRASHING_PART)).startsWith("HTTP/1.1 503").contains(QUARANTINED);
    }

    // Guards against a part being cleared by the answer of an engine that it crashed, because an answer that ends with
    // its
    // connection may look complete.
    @Test
    void aStreamThatEndsWithItsConnectionDoesNotClearAPart() {
        crashEngines(SUSPECT_CRASHES - 1, FIRST_PART, CRASHING_PART);
        use(engine((request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id")
                    + "\r\nx-signature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n");
            connection.finish();
        }));
        assertThat(ask(FIRST_PART, CRASHING_PART)).startsWith("HTTP/1.1 200");
        crashEngines(1, FIRST_PART, CRASHING_PART);
        occupyProbe();
        use(engine(CrashingPartGenerationTest::decode));
        assertThat(ask(FIRST_PART, CRASHING_PART)).startsWith("HTTP/1.1 503").contains(QUARANTINED);
    }

    // Guards against a part being refused on and on after a probe with it has ended well.
    @Test
    void aProbeThatEndsClearsThePart() {
        crashEngines(SUSPECT_CRASHES, FIRST_PART, CRASHING_PART);
        use(engine(CrashingPartGenerationTest::decode));
        pause(FIRST_PROBE_MILLIS);
        assertThat(ask(FIRST_PART, CRASHING_PART)).startsWith("HTTP/1.1 200");
        assertThat(ask(FIRST_PART, CRASHING_PART)).startsWith("HTTP/1.1 200");
    }
}
