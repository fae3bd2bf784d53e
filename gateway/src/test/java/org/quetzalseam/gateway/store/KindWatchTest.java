package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Timers;

class KindWatchTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeStore store = new FakeStore();
    private final RecordingListener listener = new RecordingListener();
    private final KindWatch watch;
    private long nanos;

    KindWatchTest() {
        channel.freezeTime();
        Timers timers = new Timers(channel.eventLoop(), () -> nanos, () -> 0);
        watch = new KindWatch(timers, store, "things", listener);
        watch.start();
        pass(0);
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

    private static StoredObject object(String name, long revision) {
        return new StoredObject(name, at(revision), JsonNodeFactory.instance.objectNode());
    }

    // Guards against an object of an earlier page that changes or goes while later pages are read.
    @Test
    void pagesAreListedTogetherAndTheWatchStartsFromTheFirstOne() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, at(5)));
        assertThat(store.after).isEqualTo("a");
        store.listed.accept(new ObjectPage(List.of(object("b", 4)), false, at(6)));
        assertThat(listener.lines).containsExactly("listed a b recovered=false");
        assertThat(store.watchedFrom).isEqualTo(5);
    }

    // Guards against the watch taking an object back to an older state than that of the list.
    @Test
    void changesThatALaterPageShowsAlreadyAreSkipped() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, at(5)));
        store.listed.accept(new ObjectPage(List.of(object("b", 8)), false, at(9)));
        store.changed.accept(new ObjectChanges(
                List.of(
                        new ObjectChanges.Change(object("a", 6), true),
                        new ObjectChanges.Change(object("b", 7), false),
                        new ObjectChanges.Change(object("b", 8), false),
                        new ObjectChanges.Change(object("b", 10), true)),
                at(10)));
        assertThat(listener.lines)
                .containsExactly(
                        "listed a b recovered=false",
                        "deleted a recovered=false",
                        "changed b",
                        "deleted b recovered=false");
    }

    // Guards against the state before a list counting as current since the list was requested, though its last page
    // has yet to show what has changed.
    @Test
    void theStateIsCurrentOnlyWhenTheLastPageOfANewListHasBeenRead() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3), object("b", 4)), false, at(6)));
        pass(LastResponse.MAX_CURRENT_AGE_MILLIS + 1);
        store.failed.accept(new StoreFailure(StoreFailure.Kind.HISTORY_GONE, "status 410"));
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, at(9)));
        assertThat(watch.current()).isFalse();
        store.listed.accept(new ObjectPage(List.of(object("b", 8)), false, at(9)));
        assertThat(watch.current()).isTrue();
    }

    // Guards against a watch that the store ends early proving a time that is yet to come.
    @Test
    void aWatchThatEndsBeforeItsWaitProvesNoMoreThanTheTimeOfItsRequest() {
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        pass(100);
        store.changed.accept(new ObjectChanges(List.of(), at(6)));
        assertThat(watch.ageMillis()).isEqualTo(100);
    }

    @Test
    void anUnresponsiveStoreIsAskedForAnImmediateAnswerUntilItRecovers() {
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        assertThat(store.waitMillis).isEqualTo(KindWatch.WATCH_WAIT_MILLIS);
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no answer in time"));
        pass(100);
        assertThat(store.waitMillis)
                .as("a long wait at an unresponsive store would hide its recovery for as long")
                .isEqualTo(KindWatch.NO_WAIT_MILLIS);
        assertThat(store.watchedFrom).isEqualTo(6);
        store.changed.accept(new ObjectChanges(List.of(), at(7)));
        pass(0);
        assertThat(store.waitMillis).isEqualTo(KindWatch.WATCH_WAIT_MILLIS);
    }

    // Guards against a change that is late because its watch waits on an unresponsive connection.
    @Test
    void aWatchWhoseAnswerIsLateIsRestartedOverAnotherConnection() {
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        Consumer<ObjectChanges> lateAnswer = store.changed;
        Consumer<StoreFailure> lateFailure = store.failed;
        int calls = store.calls;
        pass(KindWatch.WATCH_WAIT_MILLIS + KindWatch.LATE_AFTER_MILLIS);
        assertThat(store.calls).isEqualTo(calls + 1);
        assertThat(store.retirements)
                .as("idle connections may be unresponsive as well")
                .isEqualTo(1);
        assertThat(store.waitMillis).isEqualTo(KindWatch.NO_WAIT_MILLIS);
        ObjectChanges.Change change = new ObjectChanges.Change(object("a", 7), false);
        store.changed.accept(new ObjectChanges(List.of(change), at(7)));
        lateFailure.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no answer in time"));
        lateAnswer.accept(new ObjectChanges(List.of(change), at(7)));
        pass(KindWatch.BATCH_MILLIS);
        assertThat(listener.lines).containsExactly("listed recovered=false", "changed a");
        assertThat(store.calls).as("one watch continues").isEqualTo(calls + 2);
    }

    // Guards against an unresponsive store that is called four times a second but never counts as unavailable,
    // because each call replaces the previous one before it can fail.
    @Test
    void aStoreThatIsUnresponsiveOverANewConnectionTooIsUnavailable() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
        pass(KindWatch.WATCH_WAIT_MILLIS + KindWatch.LATE_AFTER_MILLIS);
        int calls = store.calls;
        pass(KindWatch.LATE_AFTER_MILLIS + 1);
        pass(KindWatch.LATE_AFTER_MILLIS + 1);
        assertThat(store.calls).as("the second call has its full time").isEqualTo(calls);
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no answer in time"));
        pass(100);
        store.changed.accept(new ObjectChanges(List.of(new ObjectChanges.Change(object("a", 7), true)), at(7)));
        assertThat(listener.lines).last().isEqualTo("deleted a recovered=true");
    }

    // Guards against a denial based on an old response: on request, the newest state is known after one call.
    @Test
    void oneCallRefreshesAnOldStateForAllWhoWait() {
        List<Boolean> current = new ArrayList<>();
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        assertThat(watch.current()).isTrue();
        pass(LastResponse.MAX_CURRENT_AGE_MILLIS + 1);
        assertThat(watch.current()).isFalse();
        int calls = store.calls;
        watch.refresh(() -> current.add(watch.current()));
        watch.refresh(() -> current.add(watch.current()));
        assertThat(store.calls).isEqualTo(calls + 1);
        assertThat(store.waitMillis).isEqualTo(KindWatch.NO_WAIT_MILLIS);
        store.changed.accept(new ObjectChanges(List.of(), at(6)));
        assertThat(current).containsExactly(true, true);
        pass(0);
        assertThat(store.waitMillis).as("the watch continues").isEqualTo(KindWatch.WATCH_WAIT_MILLIS);
    }

    // Guards against requests that wait for a store that is known to be unavailable.
    @Test
    void aRefreshEndsAtOnceWhileTheStoreIsUnavailable() {
        List<Boolean> current = new ArrayList<>();
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        pass(LastResponse.MAX_CURRENT_AGE_MILLIS + 1);
        watch.refresh(() -> current.add(watch.current()));
        store.failed.accept(new StoreFailure(StoreFailure.Kind.DECLINED, "status 503"));
        watch.refresh(() -> current.add(watch.current()));
        assertThat(current).containsExactly(false, false);
    }

    // Guards against a denial that holds only for an older copy, whose state the store shows until its writers have
    // written again.
    @Test
    void theStateOfAnOlderCopyIsNotCurrentUntilWritersHaveWrittenAgain() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
        store.changed.accept(new ObjectChanges(List.of(), ofNextEra(4)));
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, ofNextEra(4)));
        assertThat(watch.current()).isFalse();
        pass(2_500);
        store.changed.accept(new ObjectChanges(List.of(), ofNextEra(5)));
        assertThat(watch.current()).isTrue();
    }

    // Guards against the same in a process that has just started and cannot tell how long ago the store was
    // restored.
    @Test
    void aNewProcessDoesNotTakeTheStateOfARestoredStoreForCurrent() {
        store.listed.accept(new ObjectPage(List.of(), false, ofNextEra(4)));
        assertThat(watch.current()).isFalse();
    }

    @Test
    void anOutageIsRetriedAtLeastThreeTimesASecond() {
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        for (int i = 0; i < 20; i++) {
            store.failed.accept(new StoreFailure(StoreFailure.Kind.DECLINED, "status 503"));
            int calls = store.calls;
            pass(300);
            assertThat(store.calls).isEqualTo(calls + 1);
        }
    }

    @Test
    void lostHistoryLeadsToANewList() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
        store.failed.accept(new StoreFailure(StoreFailure.Kind.HISTORY_GONE, "status 410"));
        store.listed.accept(new ObjectPage(List.of(object("b", 9)), false, at(9)));
        assertThat(listener.lines).containsExactly("listed a recovered=false", "listed b recovered=false");
    }

    @Test
    void anUnreadableObjectDoesNotEndTheWatch() {
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        ObjectChanges.Change bad = new ObjectChanges.Change(object(RecordingListener.UNREADABLE, 7), false);
        ObjectChanges.Change good = new ObjectChanges.Change(object("a", 8), false);
        store.changed.accept(new ObjectChanges(List.of(bad, good), at(8)));
        assertThat(listener.lines).last().isEqualTo("changed a");
        pass(KindWatch.BATCH_MILLIS);
        assertThat(store.watchedFrom).isEqualTo(8);
    }

    @Test
    void objectsWithoutANameDoNotEndTheListBeforeItsLastPage() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3), object("", -1)), true, at(5)));
        assertThat(store.after).isEqualTo("a");
        store.listed.accept(new ObjectPage(List.of(object("b", 4)), false, at(6)));
        assertThat(listener.lines).containsExactly("listed a  b recovered=false");
    }

    @Test
    void aPageWithoutANewLastNameRestartsTheList() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, at(5)));
        store.listed.accept(new ObjectPage(List.of(object("", -1)), true, at(5)));
        assertThat(listener.lines).as("the missing objects would seem deleted").isEmpty();
        pass(300);
        assertThat(store.after).isNull();
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, at(5)));
        int calls = store.calls;
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, at(5)));
        assertThat(store.calls).as("the same page would be requested forever").isEqualTo(calls);
        assertThat(listener.lines).isEmpty();
    }

    @Test
    void anUnreadableWatchAnswerLeadsToANewList() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
        int calls = store.calls;
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNREADABLE, "cut short"));
        pass(100);
        assertThat(store.calls).isEqualTo(calls + 1);
        store.listed.accept(new ObjectPage(List.of(object("a", 3), object("b", 7)), false, at(8)));
        assertThat(store.watchedFrom).isEqualTo(8);
        assertThat(listener.lines)
                .as("an answer that can't be read shows that the store is there")
                .last()
                .isEqualTo("listed a b recovered=false");
    }

    @Test
    void aRevisionBelowTheRequestedOneDoesNotMoveTheWatchBack() {
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        store.changed.accept(new ObjectChanges(List.of(), at(2)));
        pass(0);
        assertThat(store.watchedFrom).isEqualTo(6);
    }

    @Test
    void changesInQuickSuccessionAreRequestedTogether() {
        store.listed.accept(new ObjectPage(List.of(), false, at(6)));
        int calls = store.calls;
        ObjectChanges.Change first = new ObjectChanges.Change(object("a", 7), false);
        store.changed.accept(new ObjectChanges(List.of(first), at(7)));
        assertThat(listener.lines)
                .as("the first change is in force at once")
                .last()
                .isEqualTo("changed a");
        pass(KindWatch.BATCH_MILLIS - 1);
        assertThat(store.calls).isEqualTo(calls);
        pass(1);
        assertThat(store.calls).isEqualTo(calls + 1);
        assertThat(store.watchedFrom).isEqualTo(7);
    }

    private static StorePosition ofNextEra(long revision) {
        return new StorePosition(StorePosition.NO_ERA + 1, revision);
    }

    /** The requested revision exists again, so the store answers, but without the changes before it in the new era. */
    @Test
    void anAnswerOfALaterEraLeadsToANewListMarkedAsAfterAnOutage() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
        int calls = store.calls;
        ObjectChanges.Change change = new ObjectChanges.Change(object("c", 8), false);
        store.changed.accept(new ObjectChanges(List.of(change), ofNextEra(8)));
        pass(0);
        assertThat(store.calls).as("a list is requested at once").isEqualTo(calls + 1);
        store.listed.accept(new ObjectPage(List.of(object("b", 4)), false, ofNextEra(8)));
        assertThat(listener.lines).containsExactly("listed a recovered=false", "listed b recovered=true");
        assertThat(store.watchedFrom).isEqualTo(8);
    }

    @Test
    void pagesOfTwoErasRestartTheList() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, at(5)));
        store.listed.accept(new ObjectPage(List.of(object("b", 4)), false, ofNextEra(4)));
        assertThat(listener.lines).isEmpty();
        assertThat(store.after).isNull();
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), true, ofNextEra(5)));
        store.listed.accept(new ObjectPage(List.of(object("b", 4)), false, ofNextEra(5)));
        assertThat(listener.lines).containsExactly("listed a b recovered=false");
    }

    @Test
    void aDeletionRightAfterAnOutageIsMarkedSo() {
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "reset"));
        pass(100);
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "reset"));
        pass(200);
        store.changed.accept(new ObjectChanges(List.of(new ObjectChanges.Change(object("a", 7), true)), at(7)));
        assertThat(listener.lines).last().isEqualTo("deleted a recovered=true");
    }

    private static final class RecordingListener implements KindListener {
        private static final String UNREADABLE = "unreadable";
        private final List<String> lines = new ArrayList<>();

        @Override
        public void listed(List<StoredObject> objects, long rewriteNanos) {
            StringBuilder names = new StringBuilder("listed");
            objects.forEach(object -> names.append(' ').append(object.name()));
            lines.add(names + " recovered=" + (rewriteNanos > 0));
        }

        @Override
        public void changed(StoredObject object) {
            if (object.name().equals(UNREADABLE)) {
                throw new IllegalArgumentException("no address");
            }
            lines.add("changed " + object.name());
        }

        @Override
        public void deleted(StoredObject object, long rewriteNanos) {
            lines.add("deleted " + object.name() + " recovered=" + (rewriteNanos > 0));
        }
    }
}
