package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests generations whose decode engines have different builds. */
class StreamBindingTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    private static final long START_MILLIS = 1_000;

    private final TestEntry entry = new TestEntry();
    private final AtomicInteger bookings = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private volatile Runnable onBreak = () -> {};
    private final ScriptedEndpoint prefill = new ScriptedEndpoint(
            "prefill",
            (request, connection) -> connection.answer(request, request.path().startsWith("/control/") ? "" : "kv1"));
    private final ScriptedEndpoint first = new ScriptedEndpoint("first", this::decode);
    private final ScriptedEndpoint second = new ScriptedEndpoint("second", this::decode);
    private final ScriptedEndpoint other = new ScriptedEndpoint("other", this::decode);

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
    }

    @AfterEach
    void stop() {
        entry.close();
        prefill.close();
        first.close();
        second.close();
        other.close();
    }

    /** Resets the first streams after their first event, as many as {@link #broken} states. */
    private void decode(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/")) {
            connection.answer(request, "booking" + bookings.incrementAndGet());
            return;
        }
        connection.beginStream(request);
        if (request.header("x-resume").isEmpty()) {
            connection.chunk("id: 1\ndata: a\n\n");
        }
        if (broken.getAndDecrement() > 0) {
            onBreak.run();
            connection.reset();
            return;
        }
        connection.chunk("id: 2\ndata: b\n\n");
        connection.endStream();
    }

    private void useAll(String firstBuild, String secondBuild, String otherBuild) {
        entry.updateEndpoints(
                prefill.member("s", Stage.PREFILL, START_MILLIS, "v2"),
                first.member("s", Stage.DECODE, START_MILLIS, firstBuild),
                second.member("s", Stage.DECODE, START_MILLIS, secondBuild),
                other.member("s", Stage.DECODE, START_MILLIS, otherBuild));
    }

    private static long resumed(ScriptedEndpoint engine) {
        return engine.runs().stream()
                .filter(run -> !run.header("x-resume").isEmpty())
                .count();
    }

    // Guards against the rest of a stream being booked at an engine of another build, as for a new stream.
    @Test
    void theRestOfAStreamIsBookedAtItsBuildOnly() {
        useAll("v1", "v1", "v2");
        for (int i = 0; i < 12; i++) {
            broken.set(1);
            assertThat(entry.ask("/resumable/x", "r" + i, PROMPT_TOKENS_HEADER)).endsWith("0\r\n\r\n");
        }
        assertThat(resumed(first) + resumed(second) + resumed(other))
                .as("one resume a stream")
                .isEqualTo(12);
        List<String> atOther = ids(other);
        assertThat(atOther).as("streams at v2").doesNotContainAnyElementsOf(ids(first));
        assertThat(atOther).as("streams at v2").doesNotContainAnyElementsOf(ids(second));
    }

    private static List<String> ids(ScriptedEndpoint engine) {
        return engine.runs().stream().map(run -> run.header("x-id")).toList();
    }

    // Guards against a stream waiting for, or going on at, another build once its own has gone.
    @Test
    void aBrokenStreamEndsAtOnceIfNoEngineOfItsBuildIsLeft() {
        entry.updateEndpoints(
                prefill.member("s", Stage.PREFILL, START_MILLIS, "v2"),
                first.member("s", Stage.DECODE, START_MILLIS, "v1"));
        onBreak = () -> entry.updateEndpoints(
                prefill.member("s", Stage.PREFILL, START_MILLIS, "v2"),
                other.member("s", Stage.DECODE, START_MILLIS, "v2"));
        broken.set(1);
        long askedAt = System.nanoTime();
        String answer = entry.ask("/resumable/x", "r1", PROMPT_TOKENS_HEADER);
        assertThat(answer).contains("data: a").doesNotContain("data: b").doesNotEndWith("0\r\n\r\n");
        assertThat(other.runs()).isEmpty();
        assertThat(System.nanoTime() - askedAt).as("nanoseconds").isLessThan(2_000_000_000L);
    }

    // A KV cache depends on the weights, not on the software that computed it: a prompt may be prefilled at any build.
    @Test
    void aPromptMayBePrefilledByAnEngineOfAnotherBuild() {
        entry.updateEndpoints(
                prefill.member("s", Stage.PREFILL, START_MILLIS, "v2"),
                first.member("s", Stage.DECODE, START_MILLIS, "v1"));
        assertThat(entry.ask("/resumable/x", "r1", PROMPT_TOKENS_HEADER)).endsWith("0\r\n\r\n");
        assertThat(prefill.runs()).hasSize(1);
        assertThat(first.runs()).hasSize(1);
    }
}
