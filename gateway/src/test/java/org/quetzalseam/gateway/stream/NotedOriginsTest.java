package org.quetzalseam.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.DefaultEventLoop;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.stream.BuildHistory;
import org.quetzalseam.core.stream.NotedOrigin;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;

/** Tests what entries note in the store of where streams began, and what another process finds there. */
class NotedOriginsTest {
    private static final String KIND = "quetzalseam-origins";
    private static final StreamOrigin V1 = StreamOrigin.atBuild("s", "v1");
    private static final StreamOrigin V2 = StreamOrigin.atBuild("s", "v2");
    private static final long KEEP_MILLIS = 15_000;
    /** Longer than a period of batches and an interval of lists. */
    private static final long WRITTEN_MILLIS = 1_500;

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final Timers timers = new Timers(loop);
    private final MemoryStore store = new MemoryStore();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private <T> T onLoop(Supplier<T> call) {
        CompletableFuture<T> done = new CompletableFuture<>();
        timers.soon(() -> done.complete(call.get()));
        return done.join();
    }

    private static Member member(String build) {
        return new Member("i-" + build, 0, "s", "10.0.0.1", 80, "z", 4, false, Stage.WHOLE, build);
    }

    /** Starts a process of an entry at a site that serves the given builds. */
    private NotedOrigins start(String name, String... builds) {
        BuildHistory history = new BuildHistory();
        NotedOrigins notes = new NotedOrigins(timers, history, () -> TimeUnit.SECONDS.toNanos(60), name);
        return onLoop(() -> {
            history.update(
                    List.of(builds).stream().map(NotedOriginsTest::member).toList(), timers.now());
            notes.entries(4);
            notes.start(store);
            return notes;
        });
    }

    private void record(NotedOrigins notes, String attempt, StreamOrigin origin) {
        onLoop(() -> {
            notes.record(attempt, origin, KEEP_MILLIS);
            return true;
        });
    }

    private OriginFinding find(NotedOrigins notes, String attempt) {
        CompletableFuture<OriginFinding> found = new CompletableFuture<>();
        timers.soon(() -> notes.find(attempt, found::complete));
        return found.join();
    }

    private static void awaitWritten() {
        try {
            TimeUnit.MILLISECONDS.sleep(WRITTEN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private JsonNode spec(String name) {
        return onLoop(() -> Objects.requireNonNull(store.spec(KIND, name)));
    }

    // Guards against the notes of an entry being overwritten by its next process.
    @Test
    void aLaterProcessKeepsWhatAnEarlierOneHasNoted() {
        record(start("entry-1", "v1", "v2"), "a", V1);
        awaitWritten();
        NotedOrigins later = start("entry-1", "v1", "v2");
        record(later, "b", V2);
        awaitWritten();
        NotedOrigins other = start("entry-2", "v1", "v2");
        assertThat(find(other, "a").origin()).contains(V1);
        assertThat(find(other, "b").origin()).contains(V2);
        assertThat(find(other, "c").origin()).isEmpty();
    }

    // Guards against store calls where one build only serves.
    @Test
    void nothingIsWrittenWhileOneBuildServes() {
        record(start("entry-1", "v1"), "a", V1);
        awaitWritten();
        assertThat(onLoop(() -> store.spec(KIND, "entry-1"))).isNull();
    }

    // Guards against notes that stay lost because the store was away, came back from a copy, or took a write without an
    // answer.
    @ParameterizedTest
    @ValueSource(strings = {"away", "restored", "silent"})
    void aBatchThatTheStoreLacksIsWrittenAgain(String fault) {
        NotedOrigins notes = start("entry-1", "v1", "v2");
        MemoryStore.Copy empty = onLoop(store::copy);
        onLoop(() -> {
            store.declining(fault.equals("away"));
            store.losingAnswers(fault.equals("silent"));
            return true;
        });
        record(notes, "a", V1);
        awaitWritten();
        onLoop(() -> {
            store.declining(false);
            store.losingAnswers(false);
            if (fault.equals("restored")) {
                store.restore(empty);
                store.read(KIND, "entry-1", object -> {}, failure -> {});
            }
            return true;
        });
        awaitWritten();
        assertThat(find(start("entry-2", "v1", "v2"), "a").origin()).contains(V1);
    }

    // Guards against going on at one of two builds, against one odd object hiding the others, and against a list for
    // each question.
    @Test
    void oneListAnswersAllQuestionsAndLeavesOddObjectsAside() {
        record(start("entry-1", "v1", "v2"), "a", V1);
        NotedOrigins second = start("entry-2", "v1", "v2");
        record(second, "b", V1);
        awaitWritten();
        long until = TimeUnit.MILLISECONDS.toSeconds(timers.wallMillis()) + 10;
        onLoop(() -> {
            store.pageSize(1);
            store.put(KIND, "entry-0", OriginsObject.toJson(List.of()).put("origins", "odd"));
            return store.put(
                    KIND,
                    "entry-3",
                    OriginsObject.toJson(List.of(new NotedOrigin(NotedOrigin.digest("b"), "s", "v2", until))));
        });
        NotedOrigins asked = start("entry-4", "v1", "v2");
        int before = onLoop(store::lists);
        List<CompletableFuture<OriginFinding>> found =
                List.of(new CompletableFuture<>(), new CompletableFuture<>(), new CompletableFuture<>());
        onLoop(() -> {
            asked.find("a", found.get(0)::complete);
            asked.find("b", found.get(1)::complete);
            asked.find("c", found.get(2)::complete);
            return true;
        });
        assertThat(found.get(0).join().origin()).contains(V1);
        assertThat(found.get(1).join().origin()).isEmpty();
        assertThat(found.get(2).join().origin()).isEmpty();
        assertThat(onLoop(store::lists) - before).as("pages of one list").isEqualTo(4);
    }

    // Guards against a part of the notes being taken for all, and against a caller who waits for a store that does not
    // answer.
    @Test
    void whileTheStoreDeclinesNothingIsFound() {
        record(start("entry-1", "v1", "v2"), "a", V1);
        awaitWritten();
        NotedOrigins asked = start("entry-2", "v1", "v2");
        onLoop(() -> {
            store.declining(true);
            return true;
        });
        assertThat(find(asked, "a").origin()).isEmpty();
    }

    // Guards against objects of entries that are gone keeping their notes, and against live notes being swept.
    @Test
    void aSweepEmptiesExpiredNotesOnly() {
        long seconds = TimeUnit.MILLISECONDS.toSeconds(timers.wallMillis());
        onLoop(() -> {
            store.pageSize(1);
            store.put(KIND, "gone", note(seconds - 5));
            store.put(KIND, "live", note(seconds + 60));
            store.put(KIND, "odd", OriginsObject.toJson(List.of()).put("origins", 3));
            new NotedOriginSweep(timers, store).start();
            return true;
        });
        awaitWritten();
        assertThat(OriginsObject.of(spec("gone"))).isEmpty();
        assertThat(OriginsObject.of(spec("live"))).hasSize(1);
        assertThat(spec("odd").path("origins").asInt()).isEqualTo(3);
    }

    private static JsonNode note(long untilSeconds) {
        return OriginsObject.toJson(List.of(new NotedOrigin(NotedOrigin.digest("a"), "s", "v1", untilSeconds)));
    }
}
