package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests one entry, without a store, whose decode engines end while they run a generation. */
class CrashingGenerationTest {
    private static final String QUARANTINED = "endpoints have crashed while they ran this request";
    private static final int SUSPECT_CRASHES = 3;
    /** Time in which an entry has learnt that a lost connection was a crash, in milliseconds. */
    private static final long CHECK_MILLIS = 100;

    /** More than the time from the third crash to the first probe, and from one probe to the next, in milliseconds. */
    private static final long FIRST_PROBE_MILLIS = 400;

    private static final long PROBE_INTERVAL_MILLIS = 5_500;
    /** More than the time after which a probe is repeated whose connection a living engine closed, in milliseconds. */
    private static final long LOST_PROBE_MILLIS = 1_300;

    private final TestEntry entry = new TestEntry();
    private final List<ScriptedEndpoint> engines = new ArrayList<>();

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
    }

    @AfterEach
    void stop() {
        entry.close();
        engines.forEach(ScriptedEndpoint::close);
    }

    private ScriptedEndpoint engine(ScriptedEndpoint.Script script) {
        ScriptedEndpoint engine = new ScriptedEndpoint("engine-" + engines.size(), script);
        engines.add(engine);
        return engine;
    }

    private void useOnly(ScriptedEndpoint engine) {
        entry.updateEndpoints(engine.member("s", Stage.DECODE));
    }

    private static void stream(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        connection.beginStream(request);
        connection.chunk("id: 1\ndata: a\n\n");
        connection.endStream();
    }

    /** Sends the request to an engine that begins its stream and then ends in a way of its own. */
    private void sendToEngineThatEnds(String id, Runnable how) {
        ScriptedEndpoint engine = engine((request, connection) -> {
            if (request.path().startsWith("/control/")) {
                connection.reject(request);
                return;
            }
            connection.beginStream(request);
            how.run();
            connection.reset();
        });
        useOnly(engine);
        entry.ask("/stream/x", id);
        pause();
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void crashLastEngine() {
        engines.get(engines.size() - 1).close();
    }

    private void crashThreeEngines() {
        for (int i = 0; i < SUSPECT_CRASHES; i++) {
            sendToEngineThatEnds("r" + i, this::crashLastEngine);
        }
    }

    // Guards against a generation being sent to a fourth engine after three have crashed while they ran it.
    @Test
    void aGenerationThatHasCrashedThreeEnginesIsRefusedAtOnce() {
        crashThreeEngines();
        ScriptedEndpoint fourth = engine(CrashingGenerationTest::stream);
        useOnly(fourth);
        assertThat(entry.ask("/stream/x", "again"))
                .startsWith("HTTP/1.1 503")
                .contains(QUARANTINED)
                .contains("x-come-back:");
        assertThat(fourth.runs()).isEmpty();
        assertThat(entry.ask("/stream/y", "other")).startsWith("HTTP/1.1 200");
    }

    // Guards against a generation being quarantined because living engines closed its connections.
    @Test
    void connectionsThatLivingEnginesResetAreNoCrashes() {
        for (int i = 0; i < 2 * SUSPECT_CRASHES; i++) {
            sendToEngineThatEnds("r" + i, () -> {});
        }
        useOnly(engine(CrashingGenerationTest::stream));
        assertThat(entry.ask("/stream/x", "again")).startsWith("HTTP/1.1 200");
    }

    // Guards against a generation being quarantined because engines ended as planned while they ran it.
    @Test
    void theEndOfADrainingEngineIsNoCrash() {
        for (int i = 0; i < 2 * SUSPECT_CRASHES; i++) {
            sendToEngineThatEnds("r" + i, () -> {
                ScriptedEndpoint ending = engines.get(engines.size() - 1);
                Member member = ending.member("s", Stage.DECODE);
                entry.updateEndpoints(new Member(
                        member.id(),
                        member.startMillis(),
                        member.service(),
                        member.host(),
                        member.port(),
                        member.zone(),
                        member.slots(),
                        true,
                        member.stage(),
                        member.build()));
                crashLastEngine();
            });
        }
        useOnly(engine(CrashingGenerationTest::stream));
        assertThat(entry.ask("/stream/x", "again")).startsWith("HTTP/1.1 200");
    }

    // Guards against a generation being sent that was accepted before the third crash and waited for memory since then.
    @Test
    void aGenerationThatWaitsForMemoryIsNotSentAfterTheThirdCrash() {
        AtomicBoolean full = new AtomicBoolean(true);
        ScriptedEndpoint fullEngine = engine((request, connection) -> {
            if (!request.path().startsWith("/control/")) {
                stream(request, connection);
            } else if (full.get()) {
                connection.reject(request);
            } else {
                connection.answer(request, "booking");
            }
        });
        useOnly(fullEngine);
        CompletableFuture<String> waiting =
                CompletableFuture.supplyAsync(() -> entry.ask("/stream/x", "waiting", "x-tokens: 1000"));
        pause();
        crashThreeEngines();
        full.set(false);
        useOnly(fullEngine);
        assertThat(waiting.join()).startsWith("HTTP/1.1 503").contains(QUARANTINED);
        assertThat(fullEngine.runs()).isEmpty();
    }

    // Guards against a generation being refused for minutes because its probes went to engines that can't be reached.
    @Test
    void aProbeThatReachesNoEngineIsNotUsedUp() throws InterruptedException {
        crashThreeEngines();
        entry.ask("/stream/x", "before");
        TimeUnit.MILLISECONDS.sleep(FIRST_PROBE_MILLIS);
        assertThat(entry.ask("/stream/x", "first")).startsWith("HTTP/1.1 503");
        TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
        assertThat(entry.ask("/stream/x", "second")).startsWith("HTTP/1.1 503");
        useOnly(engine(CrashingGenerationTest::stream));
        TimeUnit.MILLISECONDS.sleep(PROBE_INTERVAL_MILLIS);
        assertThat(entry.ask("/stream/x", "third")).startsWith("HTTP/1.1 200");
    }

    private void awaitFirstProbe() throws InterruptedException {
        entry.ask("/stream/x", "before");
        TimeUnit.MILLISECONDS.sleep(FIRST_PROBE_MILLIS);
    }

    // Guards against a generation being refused for seconds because an engine turned its probe away without running it.
    @Test
    void aProbeThatAnEngineRejectsGoesToAnotherOne() throws InterruptedException {
        crashThreeEngines();
        AtomicBoolean first = new AtomicBoolean(true);
        ScriptedEndpoint.Script script = (request, connection) -> {
            if (first.getAndSet(false)) {
                connection.reject(request);
            } else {
                stream(request, connection);
            }
        };
        entry.updateEndpoints(
                engine(script).member("s", Stage.DECODE), engine(script).member("s", Stage.DECODE));
        awaitFirstProbe();
        assertThat(entry.ask("/stream/x", "probe")).startsWith("HTTP/1.1 200");
    }

    // Guards against a generation being refused for seconds because a living engine closed the connection of its probe.
    @Test
    void aProbeThatALivingEngineResetsIsRepeatedAfterASecond() throws InterruptedException {
        crashThreeEngines();
        AtomicBoolean first = new AtomicBoolean(true);
        useOnly(engine((request, connection) -> {
            if (first.getAndSet(false)) {
                connection.beginStream(request);
                connection.reset();
            } else {
                stream(request, connection);
            }
        }));
        awaitFirstProbe();
        entry.ask("/stream/x", "probe");
        assertThat(entry.ask("/stream/x", "at once")).startsWith("HTTP/1.1 503");
        TimeUnit.MILLISECONDS.sleep(LOST_PROBE_MILLIS);
        assertThat(entry.ask("/stream/x", "again")).startsWith("HTTP/1.1 200");
    }

    // Guards against a generation being refused on and on after a probe has ended well.
    @Test
    void aProbeThatEndsClearsTheGeneration() {
        crashThreeEngines();
        useOnly(engine(CrashingGenerationTest::stream));
        assertThat(entry.ask("/stream/x", "early")).startsWith("HTTP/1.1 503");
        pause();
        pause();
        assertThat(entry.ask("/stream/x", "probe")).startsWith("HTTP/1.1 200");
        assertThat(entry.ask("/stream/x", "next")).startsWith("HTTP/1.1 200");
    }
}
