package org.quetzalseam.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;

class StageLeaseTest {
    private static final String KIND = "quetzalseam-leases";

    private final MemoryStore store = new MemoryStore();
    private final Clock firstClock = new Clock();
    private final Clock secondClock = new Clock();
    private final StageLease firstLease = lease("one", firstClock);
    private final StageLease secondLease = lease("other", secondClock);
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
        firstClock.pass(millis);
        secondClock.pass(millis);
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
        round(firstLease, secondLease);
        round(firstLease, secondLease);
        assertThat(firstLease.held()).isTrue();
        assertThat(secondLease.held()).isFalse();
    }

    @Test
    void aHolderThatRenewsKeepsTheLease() {
        for (int i = 0; i < 20; i++) {
            round(firstLease, secondLease);
        }
        assertThat(firstLease.held()).isTrue();
        assertThat(secondLease.held()).isFalse();
    }

    // Guards against an entry ordering on the word of an earlier answer of the store, while another one holds the
    // lease.
    @Test
    void aRenewalThatACopyOfAnEarlierAnswerSeemsToConfirmDoesNotCount() {
        round(firstLease, secondLease);
        round(firstLease, secondLease);
        orders.set(0);
        store.repeatLastWrite(true);
        orderBy(firstLease);
        assertThat(orders.get()).isZero();
        store.repeatLastWrite(false);
        round(firstLease, secondLease);
        round(firstLease, secondLease);
        assertThat(firstLease.held()).isTrue();
    }

    @Test
    void aLeaseThatIsNotRenewedIsTakenOverUnderAHigherEpoch() {
        round(firstLease, secondLease);
        for (int i = 0; i < 6; i++) {
            round(secondLease);
        }
        assertThat(secondLease.held()).isTrue();
        assertThat(secondLease.epoch()).isEqualTo(2);
    }

    @Test
    void aNewHolderGivesNoOrderWhileOneOfThePreviousHolderMayBeInFlight() {
        round(firstLease, secondLease);
        for (int i = 0; i < 5 && !secondLease.held(); i++) {
            round(secondLease);
            // Steps back to the time of the take-over, which is the one to check.
            if (secondLease.held()) {
                secondClock.pass(-StageLease.RENEW_INTERVAL_MILLIS);
            }
        }
        assertThat(secondLease.held()).isTrue();
        orderBy(secondLease);
        assertThat(orders).hasValue(0);
        pass(10_000);
        orderBy(secondLease);
        assertThat(orders).hasValue(1);
    }

    @Test
    void aHolderThatWasReplacedWhileItWasFrozenGivesNoOrder() {
        round(firstLease, secondLease);
        orderBy(firstLease);
        assertThat(orders).hasValue(1);
        for (int i = 0; i < 6; i++) {
            round(secondLease);
        }
        assertThat(firstLease.held()).as("it cannot know yet").isTrue();
        orderBy(firstLease);
        assertThat(orders).hasValue(1);
        assertThat(firstLease.held()).isFalse();
    }

    @Test
    void anOldRenewalPermitsNoOrder() {
        round(firstLease);
        firstLease.renew(() -> {});
        assertThat(firstLease.mayOrder()).isTrue();
        firstClock.pass(1_500);
        assertThat(firstLease.mayOrder()).isFalse();
    }

    @Test
    void aSuspendedMachineGivesNoOrderAlthoughItsMonotonicClockStoodStill() {
        round(firstLease);
        firstLease.renew(() -> {});
        firstClock.wallMillis += 5_000;
        assertThat(firstLease.mayOrder()).isFalse();
    }

    @Test
    void aRenewalWhoseAnswerIsLostPermitsNoOrder() {
        round(firstLease);
        store.losingAnswers(true);
        orderBy(firstLease);
        assertThat(orders).hasValue(0);
        store.losingAnswers(false);
        orderBy(firstLease);
        assertThat(orders).hasValue(1);
    }

    @Test
    void aLeaseWhoseCreationWasNotAnsweredIsHeldAfterTheNextRead() {
        store.losingAnswers(true);
        round(firstLease);
        assertThat(store.spec(KIND, "s")).isNotNull();
        store.losingAnswers(false);
        round(firstLease);
        assertThat(firstLease.held()).isTrue();
    }

    @Test
    void nobodyTakesTheLeaseOverWhileTheStoreDeclinesCalls() {
        round(firstLease, secondLease);
        store.declining(true);
        for (int i = 0; i < 10; i++) {
            round(firstLease, secondLease);
        }
        assertThat(secondLease.held()).isFalse();
        store.declining(false);
        round(firstLease, secondLease);
        assertThat(firstLease.held()).isTrue();
        assertThat(secondLease.held()).isFalse();
    }

    // Guards against a lease that is never renewed again because one renewal could not be begun, as in a full heap.
    @Test
    void aRenewalThatCannotBeBegunIsMadeInTheNextRound() {
        round(firstLease);
        round(firstLease);
        store.failReplacements(1);
        assertThatThrownBy(firstLease::maintain).isInstanceOf(InternalError.class);
        AtomicInteger renewals = new AtomicInteger();
        firstLease.renew(renewals::incrementAndGet);
        assertThat(renewals).hasValue(1);
    }
}
