package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Timers;

/** Whoever calls the store gets an outcome that it has handled, so that it can make its next call. */
class GuardedStoreTest {
    private static final ObjectPage PAGE = new ObjectPage(List.of(), false, new StorePosition(StorePosition.NO_ERA, 1));

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final FakeStore fake = new FakeStore();
    private final GuardedStore store;
    private final List<String> outcomes = new ArrayList<>();
    private long nanos;

    GuardedStoreTest() {
        channel.freezeTime();
        store = new GuardedStore(new Timers(channel.eventLoop(), () -> nanos, () -> 0), fake);
        store.start();
    }

    private void pass(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            nanos += TimeUnit.MILLISECONDS.toNanos(100);
            channel.advanceTimeBy(100, TimeUnit.MILLISECONDS);
            channel.runPendingTasks();
            channel.runScheduledPendingTasks();
        }
    }

    private void list() {
        store.list("things", null, page -> outcomes.add("done"), failure -> outcomes.add(failure.detail()));
    }

    @Test
    void anOutcomeIsPassedOnOnce() {
        list();
        fake.listed.accept(PAGE);
        fake.failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "reset"));
        pass(3 * GuardedStore.OVERDUE_MILLIS);
        assertThat(outcomes).containsExactly("done");
    }

    // Guards against a renewal, count or report whose owner waits for good because handling the answer failed.
    @Test
    void anAnswerThatCannotBeHandledFails() {
        store.list(
                "things",
                null,
                page -> {
                    throw new InternalError("thrown by the test");
                },
                failure -> outcomes.add(failure.kind().name()));
        fake.listed.accept(PAGE);
        assertThat(outcomes).containsExactly("UNKNOWN");
    }

    @Test
    void aFailureThatCannotBeHandledIsDeliveredAgain() {
        int[] deliveries = new int[1];
        store.list("things", null, page -> {}, failure -> {
            if (++deliveries[0] < 3) {
                throw new InternalError("thrown by the test");
            }
            outcomes.add(failure.detail());
        });
        fake.failed.accept(new StoreFailure(StoreFailure.Kind.DECLINED, "status 503"));
        pass(5 * GuardedStore.CHECK_MILLIS);
        assertThat(outcomes).containsExactly("status 503");
        assertThat(deliveries[0]).isEqualTo(3);
    }

    @Test
    void aCallThatCannotBeBegunFails() {
        fake.thrown = new InternalError("thrown by the test");
        list();
        assertThat(outcomes).as("not before the call has returned").isEmpty();
        pass(100);
        assertThat(outcomes).hasSize(1);
    }

    // Guards against an answer that is lost inside the process, after which neither outcome would come.
    @Test
    void aCallWithoutAnOutcomeFails() {
        list();
        pass(GuardedStore.OVERDUE_MILLIS + 2 * GuardedStore.CHECK_MILLIS);
        assertThat(outcomes).containsExactly("no outcome in time");
        fake.listed.accept(PAGE);
        assertThat(outcomes).hasSize(1);
    }

    @Test
    void aWatchIsNotOverdueWhileItWaits() {
        store.watch(
                "things",
                new StorePosition(StorePosition.NO_ERA, 1),
                20_000,
                changes -> outcomes.add("done"),
                failure -> outcomes.add("failed"));
        pass(20_000);
        assertThat(outcomes).isEmpty();
    }
}
