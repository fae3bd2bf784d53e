package org.quetzalseam.gateway.stream;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.core.stream.BuildHistory;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.KindFreshness;
import org.quetzalseam.gateway.store.MemoryStore;

/** Tests what entries note in the store of the builds that have served, and what they learn from it after a start. */
class SharedBuildsTest {
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);
    private static final long WRITTEN_MILLIS = 300;
    private static final String SERVICE = "s";

    private volatile long aheadNanos;
    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final Timers timers = new Timers(loop, () -> System.nanoTime() + aheadNanos, System::currentTimeMillis);
    private final MemoryStore store = new MemoryStore();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    private static Member member(String build) {
        return new Member("i-" + build, 0, SERVICE, "10.0.0.1", 80, "z", 4, false, Stage.WHOLE, build);
    }

    /** One process of an entry. */
    private final class Entry {
        private final BuildHistory history = new BuildHistory();
        private final SharedBuilds builds = new SharedBuilds(timers, history, () -> WINDOW_NANOS);

        Entry(boolean firstStart, int rank) {
            onLoop(() -> {
                builds.rank(rank);
                builds.start(store, firstStart);
            });
        }

        void list(String... serving) {
            onLoop(() -> {
                history.recordList(timers.now(), false);
                history.update(members(serving), timers.now());
                builds.listed();
            });
        }

        void update(String... serving) {
            onLoop(() -> {
                history.update(members(serving), timers.now());
                builds.check();
            });
        }

        Optional<String> onlyBuild() {
            CompletableFuture<Optional<String>> only = new CompletableFuture<>();
            timers.soon(() -> only.complete(history.onlyBuild(SERVICE, WINDOW_NANOS, timers.now())));
            return only.join();
        }
    }

    /** Answers each question with a list of the endpoints at once. */
    private record ProvedList(Runnable update) implements KindFreshness {
        @Override
        public long ageMillis() {
            return 0;
        }

        @Override
        public StorePosition position() {
            return StorePosition.NONE;
        }

        @Override
        public boolean current() {
            return true;
        }

        @Override
        public void refresh(Runnable answered) {
            update.run();
            answered.run();
        }
    }

    private static List<Member> members(String... builds) {
        return List.of(builds).stream().map(SharedBuildsTest::member).toList();
    }

    private void onLoop(Runnable call) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        timers.soon(() -> {
            call.run();
            done.complete(null);
        });
        done.join();
    }

    private static void awaitWritten() {
        try {
            TimeUnit.MILLISECONDS.sleep(WRITTEN_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Set<String> noted() {
        CompletableFuture<Set<String>> noted = new CompletableFuture<>();
        timers.soon(
                () -> noted.complete(BuildsObject.of(Objects.requireNonNull(store.spec("quetzalseam-builds", "served")))
                        .builds()
                        .getOrDefault(SERVICE, Set.of())));
        return noted.join();
    }

    @Test
    void aProcessThatStartsLaterKnowsTheOnlyBuildThatHasServed() {
        new Entry(true, 0).list("v1");
        awaitWritten();
        Entry later = new Entry(false, 0);
        later.list("v1");
        assertThat(later.onlyBuild()).contains("v1");
    }

    // Guards against a build being forgotten that left while no entry was up.
    @Test
    void aProcessThatStartsLaterKnowsABuildThatHasGone() {
        new Entry(true, 0).list("v1");
        awaitWritten();
        Entry later = new Entry(true, 0);
        later.list("v2");
        awaitWritten();
        assertThat(later.onlyBuild()).isEmpty();
        assertThat(noted()).containsExactlyInAnyOrder("v1", "v2");
    }

    // Guards against an entry whose list is older removing a build that another one has noted.
    @Test
    void anEntryThatLagsBehindRemovesNothingThatOthersHaveNoted() {
        Entry lagging = new Entry(true, 1);
        lagging.list("v1");
        awaitWritten();
        Entry ahead = new Entry(false, 0);
        ahead.list("v1", "v2");
        awaitWritten();
        lagging.update("v1", "v3");
        awaitWritten();
        assertThat(noted()).containsExactlyInAnyOrder("v1", "v2", "v3");
        assertThat(lagging.onlyBuild()).isEmpty();
    }

    // Guards against an entry that stood still removing a build that has come back at the others meanwhile.
    @Test
    void anEntryThatStoodStillRemovesNoBuildThatHasComeBackMeanwhile() {
        Entry stopped = new Entry(true, 1);
        stopped.list("v1", "v2");
        awaitWritten();
        stopped.update("v1");
        Entry other = new Entry(false, 0);
        other.list("v1");
        awaitWritten();
        other.update("v1", "v2");
        aheadNanos = WINDOW_NANOS + 1;
        onLoop(stopped.builds::check);
        awaitWritten();
        Entry later = new Entry(false, 0);
        later.list("v1");
        awaitWritten();
        assertThat(later.onlyBuild()).isEmpty();
    }

    // Guards against a build that has left being kept for good, so that streams of unknown origin are refused for ever.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aBuildIsRemovedIfTheNewestListShowsThatItHasNotComeBack(boolean back) {
        Entry entry = new Entry(true, 0);
        entry.list("v1", "v2");
        awaitWritten();
        entry.update("v1");
        onLoop(() -> entry.builds.knowledge(
                new ProvedList(() -> entry.history.update(back ? members("v1", "v2") : members("v1"), timers.now()))));
        aheadNanos = WINDOW_NANOS + 1;
        onLoop(entry.builds::check);
        awaitWritten();
        assertThat(noted()).isEqualTo(back ? Set.of("v1", "v2") : Set.of("v1"));
    }

    @Test
    void whatIsNotKnownFromTheStartProvesNothing() {
        new Entry(false, 0).list("v1");
        awaitWritten();
        Entry later = new Entry(false, 0);
        later.list("v1");
        assertThat(later.onlyBuild()).isEmpty();
    }

    @Test
    void withoutTheStoreNothingIsProved() {
        new Entry(true, 0).list("v1");
        awaitWritten();
        onLoop(() -> store.declining(true));
        Entry later = new Entry(true, 0);
        later.list("v1");
        awaitWritten();
        assertThat(later.onlyBuild()).isEmpty();
    }

    // Guards against an older copy of the store proving that a build never served.
    @Test
    void aRecordOfAnEarlierEraProvesNothing() {
        new Entry(true, 0).list("v1");
        awaitWritten();
        MemoryStore.Copy copy = store.copy();
        Entry other = new Entry(false, 0);
        other.list("v1", "v2");
        awaitWritten();
        onLoop(() -> store.restore(copy));
        Entry later = new Entry(true, 0);
        later.list("v1");
        awaitWritten();
        assertThat(later.onlyBuild()).isEmpty();
    }

    // Guards against any order of builds, restarts and lost answers after which an entry takes a build for the only one
    // that has served.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void noHistoryMakesABuildTheOnlyOneThatIsNot(long seed) {
        Random random = new Random(seed);
        Set<String> everServed = new HashSet<>(Set.of("v0"));
        List<String> serving = new ArrayList<>(List.of("v0"));
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            entries.add(new Entry(true, i));
            entries.get(i).list("v0");
        }
        awaitWritten();
        for (int step = 1; step <= 12; step++) {
            if (random.nextInt(4) == 0) {
                serving.add("v" + step);
                everServed.add("v" + step);
            } else if (serving.size() > 1 && random.nextInt(3) == 0) {
                serving.remove(random.nextInt(serving.size()));
            }
            String[] now = serving.toArray(String[]::new);
            boolean losing = random.nextInt(4) == 0;
            onLoop(() -> store.losingAnswers(losing));
            entries.forEach(entry -> entry.update(now));
            awaitWritten();
            onLoop(() -> store.losingAnswers(false));
            if (random.nextInt(3) == 0) {
                for (int i = 0; i < entries.size(); i++) {
                    entries.set(i, new Entry(random.nextBoolean(), i));
                    entries.get(i).list(now);
                }
            }
            for (Entry entry : entries) {
                assertThat(entry.onlyBuild())
                        .as("step %d, served %s", step, everServed)
                        .isEqualTo(everServed.size() == 1 ? Optional.of("v0") : Optional.empty());
            }
        }
        assertThat(Map.of(SERVICE, noted())).isEqualTo(Map.of(SERVICE, everServed));
    }
}
