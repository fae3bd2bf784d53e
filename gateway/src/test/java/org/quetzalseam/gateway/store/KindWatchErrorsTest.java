package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Timers;

/** A watch goes on whatever handling an answer throws, such as an error of a full heap. */
class KindWatchErrorsTest {
    private static final long PROMPT_MILLIS = 1_500;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeStore store = new FakeStore();
    private final FailingListener listener = new FailingListener();
    private final KindWatch watch;
    private long nanos;

    KindWatchErrorsTest() {
        channel.freezeTime();
        watch = new KindWatch(new Timers(channel.eventLoop(), () -> nanos, () -> 0), store, "things", listener);
        watch.start();
        pass(0);
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
    }

    /** Lets time pass in steps, so that what becomes due later is scheduled by what becomes due earlier. */
    private void pass(long millis) {
        for (long passed = 0; passed <= millis; passed += 50) {
            nanos += TimeUnit.MILLISECONDS.toNanos(50);
            channel.advanceTimeBy(50, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            channel.runScheduledPendingTasks();
        }
    }

    private static StorePosition at(long revision) {
        return new StorePosition(StorePosition.NO_ERA, revision);
    }

    private static StoredObject object(String name, long revision) {
        return new StoredObject(name, at(revision), JsonNodeFactory.instance.objectNode());
    }

    private void answerWithChange(long revision) {
        store.changed.accept(
                new ObjectChanges(List.of(new ObjectChanges.Change(object("a", revision), false)), at(revision)));
    }

    // Guards against a desired state that is never read again because the heap was full when one change was handled.
    @Test
    void anErrorInTheListenerLeadsToAListThatHasTheChange() {
        listener.thrown = new InternalError("thrown by the test");
        answerWithChange(7);
        listener.thrown = null;
        int lists = store.lists;
        pass(PROMPT_MILLIS);
        assertThat(store.lists).as("lists after the error").isEqualTo(lists + 1);
        store.listed.accept(new ObjectPage(List.of(object("a", 7)), false, at(8)));
        assertThat(listener.names).last().isEqualTo("a");
        assertThat(store.watchedFrom).isEqualTo(8);
        assertThat(watch.restarts()).isEqualTo(1);
    }

    @Test
    void anErrorWhileAListIsHandledLeadsToAnotherList() {
        store.failed.accept(new StoreFailure(StoreFailure.Kind.HISTORY_GONE, "status 410"));
        listener.thrown = new InternalError("thrown by the test");
        store.listed.accept(new ObjectPage(List.of(object("a", 7)), false, at(8)));
        listener.thrown = null;
        int lists = store.lists;
        pass(PROMPT_MILLIS);
        assertThat(store.lists).isEqualTo(lists + 1);
    }

    // Guards against one who requested a refresh ending the watch for all, and keeping the others waiting.
    @Test
    void anExceptionOfOneWhoRequestedARefreshEndsNeitherTheWatchNorOtherRefreshes() {
        List<String> refreshed = new ArrayList<>();
        watch.refresh(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        watch.refresh(() -> refreshed.add("second"));
        int calls = store.calls;
        store.changed.accept(new ObjectChanges(List.of(), at(6)));
        pass(PROMPT_MILLIS);
        assertThat(refreshed).containsExactly("second");
        assertThat(store.calls).isGreaterThan(calls);
    }

    // The same for a call that failed, after which the next one is made later.
    @Test
    void anExceptionOfOneWhoRequestedARefreshDoesNotEndTheRetries() {
        watch.refresh(() -> {
            throw new IllegalStateException("thrown by the test");
        });
        int calls = store.calls;
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "reset"));
        pass(PROMPT_MILLIS);
        assertThat(store.calls).isGreaterThan(calls);
    }

    // Guards against a call that could not even be begun being the last one.
    @Test
    void aCallThatCannotBeBegunIsMadeAgain() {
        store.thrown = new InternalError("thrown by the test");
        store.changed.accept(new ObjectChanges(List.of(), at(6)));
        pass(PROMPT_MILLIS);
        store.thrown = null;
        int calls = store.calls;
        pass(PROMPT_MILLIS);
        assertThat(store.calls).isGreaterThan(calls);
    }

    // Guards against a call whose answer and failure are both lost being the last one.
    @Test
    void aCallThatIsNeverAnsweredIsReplacedByAList() {
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "reset"));
        pass(PROMPT_MILLIS);
        int lists = store.lists;
        pass((KindWatch.MAX_SILENT_CHECKS + 1) * KindWatch.SILENCE_CHECK_MILLIS);
        assertThat(store.lists).as("lists after silence").isGreaterThan(lists);
        assertThat(watch.restarts()).isGreaterThan(0);
    }

    @Test
    void aStoreThatAnswersInTimeIsNotListedAgain() {
        int lists = store.lists;
        for (int i = 0; i < 10; i++) {
            pass(KindWatch.WATCH_WAIT_MILLIS - 100);
            store.changed.accept(new ObjectChanges(List.of(), at(6)));
        }
        assertThat(store.lists).isEqualTo(lists);
        assertThat(watch.restarts()).isZero();
    }

    // Guards against a watch being given up while it waits, where the checks come right after its beginning.
    @Test
    void aWatchThatIsAnsweredJustInTimeIsNotListedAgainWheneverItBegan() {
        int lists = store.lists;
        for (int i = 0; i < 40; i++) {
            pass(KindWatch.WATCH_WAIT_MILLIS + KindWatch.LATE_AFTER_MILLIS - 100);
            store.changed.accept(new ObjectChanges(List.of(), at(6)));
        }
        assertThat(store.lists).isEqualTo(lists);
        assertThat(watch.restarts()).isZero();
    }

    // Guards against an error that repeats itself making a list as often as the store can answer.
    @Test
    void listsAfterErrorsInARowBecomeRarer() {
        listener.thrown = new InternalError("thrown by the test");
        answerWithChange(7);
        int lists = store.lists;
        for (int i = 0; i < 200; i++) {
            pass(50);
            store.listed.accept(new ObjectPage(List.of(object("a", 7)), false, at(8)));
        }
        assertThat(store.lists - lists).isBetween(10, 30);
    }

    private static final class FailingListener implements KindListener {
        private final List<String> names = new ArrayList<>();
        private @Nullable Error thrown;

        private void handle(StoredObject object) {
            if (thrown != null) {
                throw thrown;
            }
            names.add(object.name());
        }

        @Override
        public void listed(List<StoredObject> objects, long rewriteNanos) {
            objects.forEach(this::handle);
        }

        @Override
        public void changed(StoredObject object) {
            handle(object);
        }

        @Override
        public void deleted(StoredObject object, long rewriteNanos) {
            handle(object);
        }
    }
}
