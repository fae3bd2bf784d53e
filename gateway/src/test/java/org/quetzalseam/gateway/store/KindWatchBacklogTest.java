package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Timers;

/** A process that is behind by more changes than an answer holds. */
class KindWatchBacklogTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeStore store = new FakeStore();
    private final List<Boolean> refreshed = new ArrayList<>();
    private boolean newestSuffices;
    private long revision = 6;
    private long nanos;
    private final KindWatch watch;

    KindWatchBacklogTest() {
        channel.freezeTime();
        Timers timers = new Timers(channel.eventLoop(), () -> nanos, () -> 0);
        watch = new KindWatch(timers, store, "things", new QuietListener());
        watch.start();
        pass(0);
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
    }

    private void pass(long millis) {
        nanos += TimeUnit.MILLISECONDS.toNanos(millis);
        channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        channel.runPendingTasks();
        channel.runScheduledPendingTasks();
    }

    private static StorePosition at(long revision) {
        return new StorePosition(StorePosition.NO_ERA, revision);
    }

    private void answer(boolean mayBeCut) {
        StoredObject object = new StoredObject("a", at(++revision), JsonNodeFactory.instance.objectNode());
        store.changed.accept(
                new ObjectChanges(List.of(new ObjectChanges.Change(object, false)), at(revision), mayBeCut));
    }

    // Guards against a route being denied because an answer that ended before the newest change passed for the newest
    // state.
    @Test
    void anAnswerThatMayBeCutDoesNotProveTheState() {
        pass(LastResponse.MAX_CURRENT_AGE_MILLIS + 1);
        answer(true);
        assertThat(watch.current()).isFalse();
        pass(0);
        answer(false);
        assertThat(watch.current()).isTrue();
    }

    @Test
    void whoRequestsARefreshIsAnsweredWithTheNewestState() {
        pass(LastResponse.MAX_CURRENT_AGE_MILLIS + 1);
        watch.refresh(() -> refreshed.add(watch.current()));
        answer(true);
        watch.refresh(() -> refreshed.add(watch.current()));
        assertThat(refreshed).isEmpty();
        pass(0);
        answer(false);
        assertThat(refreshed).containsExactly(true, true);
    }

    // Guards against a backlog that takes the pause that collects changes once for each answer.
    @Test
    void aBacklogIsReadWithoutPauses() {
        for (int i = 0; i < 10; i++) {
            int calls = store.calls;
            answer(true);
            pass(0);
            assertThat(store.calls).isEqualTo(calls + 1);
            assertThat(store.watchedFrom).isEqualTo(revision);
            assertThat(store.waitMillis).isEqualTo(KindWatch.NO_WAIT_MILLIS);
        }
        int calls = store.calls;
        answer(false);
        pass(KindWatch.BATCH_MILLIS - 1);
        assertThat(store.calls).as("changes are collected again").isEqualTo(calls);
    }

    // Guards against versions that nobody needs being read one after the other while later ones are due.
    @Test
    void aBacklogIsListedWhereOnlyTheNewestMatters() {
        newestSuffices = true;
        int lists = store.lists;
        answer(true);
        pass(0);
        assertThat(store.lists).as("one long answer may be the only one").isEqualTo(lists);
        answer(true);
        pass(0);
        assertThat(store.lists).isEqualTo(lists + 1);
        store.listed.accept(new ObjectPage(List.of(), false, at(50)));
        assertThat(store.watchedFrom).isEqualTo(50);
    }

    private final class QuietListener implements KindListener {
        @Override
        public void listed(List<StoredObject> objects, long rewriteNanos) {}

        @Override
        public void changed(StoredObject object) {}

        @Override
        public void deleted(StoredObject object, long rewriteNanos) {}

        @Override
        public boolean newestSuffices() {
            return newestSuffices;
        }
    }
}
