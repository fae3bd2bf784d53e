package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Timers;

/** For how long a removed object may count as not yet written again, in the sum of all waits. */
class KindWatchOutageTest {
    /** Time from the store's ack by which a removal must be in force, in milliseconds. */
    private static final long REMOVAL_MILLIS = 2_000;
    /** Time after the end of an outage from which removals must be in force within that time, in milliseconds. */
    private static final long STABLE_MILLIS = 3_000;
    /** Time after the end of an outage within which live processes write their objects again, in milliseconds. */
    private static final long WRITTEN_AGAIN_MILLIS = 2_000;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeStore store = new FakeStore();
    private final Map<String, Long> keptUntilMillis = new HashMap<>();
    private final List<Long> grantedMillis = new ArrayList<>();
    private long nanos;
    private long revision = 6;

    KindWatchOutageTest() {
        channel.freezeTime();
        Timers timers = new Timers(channel.eventLoop(), () -> nanos, () -> 0);
        new KindWatch(timers, store, "things", new GraceListener()).start();
        pass(1);
        store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(6)));
    }

    private void pass(long millis) {
        for (long i = 0; i < millis; i++) {
            nanos += TimeUnit.MILLISECONDS.toNanos(1);
            channel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            channel.runScheduledPendingTasks();
        }
    }

    private long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }

    private static StorePosition at(long revision) {
        return new StorePosition(StorePosition.NO_ERA, revision);
    }

    private static StoredObject object(String name, long revision) {
        return new StoredObject(name, at(revision), JsonNodeFactory.instance.objectNode());
    }

    private void cutOff() {
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "CONNECTION_LOST closed by the peer"));
    }

    private void answer(String... removed) {
        List<ObjectChanges.Change> changes = new ArrayList<>();
        for (String name : removed) {
            changes.add(new ObjectChanges.Change(object(name, ++revision), true));
        }
        store.changed.accept(new ObjectChanges(changes, at(revision)));
    }

    /** Waits until the watch has made another call. */
    private void awaitCall() {
        int calls = store.calls;
        for (int i = 0; i < 5_000 && store.calls == calls; i++) {
            pass(1);
        }
        assertThat(store.calls).isGreaterThan(calls);
    }

    // Guards against requests that are sent to a removed endpoint past its drain time because a watch was broken off
    // before.
    @ParameterizedTest
    @ValueSource(longs = {0, 120, 1_000, 2_300})
    void aBrokenOffWatchDelaysNoRemoval(long beforeMillis) {
        cutOff();
        awaitCall();
        answer();
        pass(beforeMillis);
        answer("a");
        awaitCall();
        answer("b");
        assertThat(grantedMillis).containsExactly(0L, 0L);
    }

    @Test
    void aWatchThatIsBrokenOffAgainAndAgainIsNoOutage() {
        for (int i = 0; i < 8; i++) {
            cutOff();
            awaitCall();
            answer();
            pass(250);
        }
        answer("a");
        assertThat(grantedMillis).containsExactly(0L);
    }

    private static StoreFailure failure(String which) {
        return switch (which) {
            case "a reset" -> new StoreFailure(StoreFailure.Kind.UNKNOWN, "CONNECTION_LOST Connection reset");
            case "a rejection" -> new StoreFailure(StoreFailure.Kind.DECLINED, "status 503");
            case "a rate limit" -> new StoreFailure(StoreFailure.Kind.DECLINED, "status 429");
            case "an unreadable answer" -> new StoreFailure(StoreFailure.Kind.UNREADABLE, "cut short");
            case "a lost history" -> new StoreFailure(StoreFailure.Kind.HISTORY_GONE, "status 410");
            default -> throw new IllegalArgumentException("expected a failure, found " + which);
        };
    }

    // Guards against any single failure of a call delaying the removals after it.
    @ParameterizedTest
    @ValueSource(strings = {"a reset", "a rejection", "a rate limit", "an unreadable answer", "a lost history"})
    void oneFailedCallDelaysNoRemoval(String which) {
        int lists = store.lists;
        store.failed.accept(failure(which));
        pass(200);
        if (store.lists > lists) {
            store.listed.accept(new ObjectPage(List.of(object("a", 3)), false, at(revision)));
        } else {
            answer();
        }
        pass(300);
        answer("a");
        assertThat(grantedMillis).containsExactly(0L);
    }

    // Guards against an answer that is lost in silence, after which the watch is asked again, counting as an outage.
    @Test
    void oneAnswerThatNeverComesDelaysNoRemoval() {
        pass(KindWatch.WATCH_WAIT_MILLIS + KindWatch.LATE_AFTER_MILLIS);
        answer("a");
        assertThat(grantedMillis).containsExactly(0L);
    }

    @Test
    void afterARestoreOfTheStoreMissingObjectsAreKeptUntilOneMoment() {
        StorePosition restored = new StorePosition(StorePosition.NO_ERA + 1, 4);
        store.changed.accept(new ObjectChanges(List.of(), restored));
        long askedAt = nowMillis();
        store.listed.accept(new ObjectPage(List.of(), false, restored));
        pass(900);
        StoredObject removed = new StoredObject(
                "a", new StorePosition(StorePosition.NO_ERA + 1, 5), JsonNodeFactory.instance.objectNode());
        store.changed.accept(new ObjectChanges(List.of(new ObjectChanges.Change(removed, true)), removed.position()));
        assertThat(keptUntilMillis.getOrDefault("a", 0L) - askedAt).isBetween(1_800L, WRITTEN_AGAIN_MILLIS);
    }

    // Guards against the same for a removal that is read with the very answer that ends the broken-off call.
    @Test
    void aRemovalInTheFirstAnswerAfterABrokenOffWatchIsInForceAtOnce() {
        cutOff();
        awaitCall();
        answer("a");
        assertThat(grantedMillis).containsExactly(0L);
    }

    // Guards against endpoints that are dropped though they are alive and register again after an outage.
    @Test
    void whatLapsedInAnOutageIsKeptWhileItIsWrittenAgain() {
        cutOff();
        awaitCall();
        cutOff();
        awaitCall();
        long returned = nowMillis();
        answer("a");
        assertThat(keptUntilMillis.getOrDefault("a", 0L) - returned)
                .isBetween(WRITTEN_AGAIN_MILLIS - 150, WRITTEN_AGAIN_MILLIS);
    }

    @Test
    void aStoreThatDoesNotAnswerIsAwayWithTheFirstLateCall() {
        pass(KindWatch.WATCH_WAIT_MILLIS + KindWatch.LATE_AFTER_MILLIS);
        pass(900);
        store.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no answer in time"));
        awaitCall();
        answer("a");
        assertThat(grantedMillis).hasSize(1);
        assertThat(grantedMillis.get(0)).isGreaterThan(0);
    }

    // Guards against bounds that count one wait only: an outage of any length, calls that fail at once or in time, and
    // removals at any moment after it, each read after the pause that collects changes.
    @ParameterizedTest
    @ValueSource(longs = {0, 100, 400, 900})
    void afterAnOutageEveryRemovalIsInForceWithinTheSumOfAllWaits(long failsAfterMillis) {
        cutOff();
        long lastFailedSentAt = 0;
        for (int i = 0; i < 5; i++) {
            awaitCall();
            lastFailedSentAt = nowMillis();
            pass(failsAfterMillis);
            store.failed.accept(new StoreFailure(StoreFailure.Kind.DECLINED, "status 503"));
        }
        awaitCall();
        long answeredAt = nowMillis();
        answer();
        for (int removal = 0; nowMillis() < answeredAt + 5_000; removal++) {
            long ackedAt = nowMillis();
            String name = "removed-" + removal;
            awaitCall();
            answer(name);
            long inForceAt = Math.max(nowMillis(), keptUntilMillis.getOrDefault(name, 0L));
            // The store may have been back since just after the last call that failed.
            long bound = Math.max(ackedAt + REMOVAL_MILLIS, lastFailedSentAt + STABLE_MILLIS);
            assertThat(inForceAt).as("removal acknowledged at %d ms", ackedAt).isLessThan(bound);
        }
    }

    private final class GraceListener implements KindListener {
        @Override
        public void listed(List<StoredObject> objects, long rewriteNanos) {}

        @Override
        public void changed(StoredObject object) {}

        @Override
        public void deleted(StoredObject object, long rewriteNanos) {
            grantedMillis.add(TimeUnit.NANOSECONDS.toMillis(rewriteNanos));
            keptUntilMillis.put(object.name(), nowMillis() + TimeUnit.NANOSECONDS.toMillis(rewriteNanos));
        }
    }
}
