package org.quetzalseam.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;

class StageLeaseTest {
    private static final String KIND = "quetzalseam-leases";

    private final MemoryStore store = new MemoryStore();
    private final Clock first = new Clock();
    private final Clock second = new Clock();
    private final StageLease one = lease("one", first);
    private final StageLease other = lease("other", second);
    private final AtomicInteger orders = new AtomicInteger();

    /** The clocks of one machine. */
    private static final class Clock {
        private long steadyNanos = 1;
        private long wallMillis = 1_000_000;

        void pass(long millis) {
            steadyNanos += TimeUnit.MILLISECONDS.toNanos(millis);
            wallMillis += millis;
        }
    }

    private StageLease lease(String name, Clock clock) {
        Timers timers = new Timers(new EmbeddedChannel().eventLoop(), () -> clock.steadyNanos, () -> clock.wallMillis);
        return new StageLease(timers, store, "s", name);
    }

    private void pass(long millis) {
        first.pass(millis);
        second.pass(millis);
    }

    /** Lets each of the given leases be maintained once, and then lets the interval between two rounds pass. */
    private void round(StageLease... leases) {
        for (StageLease lease : leases) {
            lease.maintain();
        }
        pass(StageLease.RENEW_INTERVAL_MILLIS);
    }

    private void orderBy(StageLease lease) {
        lease.renew(() -> {
            if (lease.mayOrder()) {
                orders.incrementAndGet();
            }
        });
    }

    @Test
    void oneOfTwoEntriesHoldsTheLease() {
        round(one, other);
        round(one, other);
        assertThat(one.held()).isTrue();
        assertThat(other.held()).isFalse();
    }

    @Test
    void aHolderThatRenewsKeepsTheLease() {
        for (int i = 0; i < 20; i++) {
            round(one, other);
        }
        assertThat(one.held()).isTrue();
        assertThat(other.held()).isFalse();
    }

    @Test
    void aLeaseThatIsNotRenewedIsTakenOverUnderAHigherEpoch() {
        round(one, other);
        for (int i = 0; i < 6; i++) {
            round(other);
        }
        assertThat(other.held()).isTrue();
        assertThat(other.epoch()).isEqualTo(2);
    }

    @Test
    void aNewHolderGivesNoOrderWhileOneOfThePreviousHolderMayBeInFlight() {
        round(one, other);
        for (int i = 0; i < 5 && !other.held(); i++) {
            round(other);
            // Steps back to the time of the take-over, which is the one to check.
            if (other.held()) {
                second.pass(-StageLease.RENEW_INTERVAL_MILLIS);
            }
        }
        assertThat(other.held()).isTrue();
        orderBy(other);
        assertThat(orders).hasValue(0);
        pass(10_000);
        orderBy(other);
        assertThat(orders).hasValue(1);
    }

    @Test
    void aHolderThatWasReplacedWhileItWasFrozenGivesNoOrder() {
        round(one, other);
        orderBy(one);
        assertThat(orders).hasValue(1);
        for (int i = 0; i < 6; i++) {
            round(other);
        }
        assertThat(one.held()).as("it cannot know yet").isTrue();
        orderBy(one);
        assertThat(orders).hasValue(1);
        assertThat(one.held()).isFalse();
    }

    @Test
    void anOldRenewalPermitsNoOrder() {
        round(one);
        one.renew(() -> {});
        assertThat(one.mayOrder()).isTrue();
        first.pass(1_500);
        assertThat(one.mayOrder()).isFalse();
    }

    @Test
    void aSuspendedMachineGivesNoOrderAlthoughItsMonotonicClockStoodStill() {
        round(one);
        one.renew(() -> {});
        first.wallMillis += 5_000;
        assertThat(one.mayOrder()).isFalse();
    }

    @Test
    void aRenewalWhoseAnswerIsLostPermitsNoOrder() {
        round(one);
        store.losingAnswers(true);
        orderBy(one);
        assertThat(orders).hasValue(0);
        store.losingAnswers(false);
        orderBy(one);
        assertThat(orders).hasValue(1);
    }

    @Test
    void aLeaseWhoseCreationWasNotAnsweredIsHeldAfterTheNextRead() {
        store.losingAnswers(true);
        round(one);
        assertThat(store.spec(KIND, "s")).isNotNull();
        store.losingAnswers(false);
        round(one);
        assertThat(one.held()).isTrue();
    }

    @Test
    void nobodyTakesTheLeaseOverWhileTheStoreDeclinesCalls() {
        round(one, other);
        store.declining(true);
        for (int i = 0; i < 10; i++) {
            round(one, other);
        }
        assertThat(other.held()).isFalse();
        store.declining(false);
        round(one, other);
        assertThat(one.held()).isTrue();
        assertThat(other.held()).isFalse();
    }
}
