package org.quetzalseam.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;

/**
 * Tests the lease after the store was restored from a copy some seconds old: later writes are lost, and their revisions are
 * assigned again. Guards against entries that take the restored record for a stale answer, so that renewals and take-overs conflict
 * forever, and against a new holder that gets an epoch which a lost holder had.
 */
class RestoredStoreTest {
    private static final String KIND = "quetzalseam-leases";
    private static final int MANY_ROUNDS = 250;

    private final MemoryStore store = new MemoryStore();
    private final Map<StageLease, Integer> orders = new HashMap<>();
    private long steadyNanos = 1;
    private long wallMillis = 1_000_000;
    private int writes;

    private StageLease lease(String name) {
        Timers timers = new Timers(new EmbeddedChannel().eventLoop(), () -> steadyNanos, () -> wallMillis);
        return new StageLease(timers, store, "s", name);
    }

    private void round(StageLease... leases) {
        for (StageLease lease : leases) {
            lease.maintain();
            if (lease.held()) {
                lease.renew(() -> order(lease));
            }
        }
        steadyNanos += TimeUnit.MILLISECONDS.toNanos(StageLease.RENEW_INTERVAL_MILLIS);
        wallMillis += StageLease.RENEW_INTERVAL_MILLIS;
    }

    private void rounds(int count, StageLease... leases) {
        for (int i = 0; i < count; i++) {
            round(leases);
        }
    }

    private void order(StageLease lease) {
        if (lease.mayOrder()) {
            orders.merge(lease, 1, Integer::sum);
        }
    }

    private int ordersOf(StageLease lease) {
        return orders.getOrDefault(lease, 0);
    }

    private void writeElsewhere(int count) {
        for (int i = 0; i < count; i++) {
            store.put("others", "other-" + writes++, JsonNodeFactory.instance.objectNode());
        }
    }

    private void roundsWithOtherWrites(int count, StageLease... leases) {
        for (int i = 0; i < count; i++) {
            writeElsewhere(1);
            round(leases);
        }
    }

    @Test
    void aLeaseWhoseLastRenewalsWereLostIsHeldAgain() {
        StageLease lease = lease("a");
        rounds(5, lease);
        MemoryStore.Copy copy = store.copy();
        rounds(3, lease);
        int before = ordersOf(lease);
        assertThat(before).isPositive();
        store.restore(copy);
        roundsWithOtherWrites(MANY_ROUNDS, lease);
        assertThat(ordersOf(lease)).isGreaterThan(before + MANY_ROUNDS / 2);
    }

    @Test
    void aLeaseCreatedAfterTheCopyIsHeldAgain() {
        MemoryStore.Copy copy = store.copy();
        StageLease lease = lease("a");
        rounds(5, lease);
        int before = ordersOf(lease);
        assertThat(before).isPositive();
        store.restore(copy);
        roundsWithOtherWrites(MANY_ROUNDS, lease);
        assertThat(ordersOf(lease)).isGreaterThan(before + MANY_ROUNDS / 2);
    }

    @Test
    void anEpochOfAHolderThatTheStoreHasLostIsNotReused() {
        StageLease a = lease("a");
        rounds(3, a);
        writeElsewhere(3);
        MemoryStore.Copy copy = store.copy();
        StageLease b = lease("b");
        rounds(7, b);
        assertThat(b.held()).isTrue();
        assertThat(ordersOf(b)).isPositive();
        store.restore(copy);
        StageLease c = lease("c");
        for (int i = 0; i < MANY_ROUNDS && !c.held(); i++) {
            round(c);
        }
        assertThat(c.held()).isTrue();
        assertThat(c.epoch()).isGreaterThan(b.epoch());
    }

    @Test
    void aPreviousHolderGivesNoOrderOnceAnotherHoldsTheLeaseAgain() {
        StageLease a = lease("a");
        rounds(3, a);
        MemoryStore.Copy copy = store.copy();
        StageLease b = lease("b");
        rounds(7, b);
        store.restore(copy);
        for (int i = 0; i < MANY_ROUNDS && !a.held(); i++) {
            round(a);
        }
        rounds(5, a);
        int before = ordersOf(b);
        rounds(MANY_ROUNDS, a, b);
        assertThat(ordersOf(a)).isGreaterThan(MANY_ROUNDS / 2);
        assertThat(ordersOf(b)).isEqualTo(before);
        assertThat(b.held()).isFalse();
    }

    @Test
    void twoRestoresInARowLeaveOneHolder() {
        StageLease a = lease("a");
        StageLease b = lease("b");
        rounds(3, a, b);
        MemoryStore.Copy copy = store.copy();
        for (int i = 0; i < 2; i++) {
            roundsWithOtherWrites(2, a, b);
            store.restore(copy);
        }
        roundsWithOtherWrites(20, a, b);
        int before = ordersOf(a) + ordersOf(b);
        roundsWithOtherWrites(MANY_ROUNDS, a, b);
        assertThat(ordersOf(a) + ordersOf(b)).isGreaterThan(before + MANY_ROUNDS / 2);
        assertThat(a.held() != b.held()).as("exactly one holds it").isTrue();
    }

    @Test
    void aRecordThatAnOperatorDeletesIsCreatedAgainUnderAHigherEpoch() {
        StageLease lease = lease("a");
        rounds(5, lease);
        int before = ordersOf(lease);
        long epoch = lease.epoch();
        store.remove(KIND, "s");
        roundsWithOtherWrites(MANY_ROUNDS, lease);
        assertThat(ordersOf(lease)).isGreaterThan(before + MANY_ROUNDS / 2);
        assertThat(lease.epoch()).isGreaterThan(epoch);
    }
}
