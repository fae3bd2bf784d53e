package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;

class OrderLeaseTest {
    private static final long SECOND_NANOS = 1_000_000_000L;
    private static final long RENEW_MILLIS = 4_000;
    private static final long FIRST_ORDER_DELAY_MILLIS = 5_000;

    private final OrderLease lease = new OrderLease("me", RENEW_MILLIS, FIRST_ORDER_DELAY_MILLIS);

    private static StorePosition at(long revision) {
        return new StorePosition(StorePosition.NO_ERA, revision);
    }

    private void hold() {
        lease.observe("me", 1, at(10), 0);
        lease.acquired(false, 0);
    }

    @Test
    void anOrderLeavesOnlyRightAfterAConfirmedRenewal() {
        hold();
        assertThat(lease.mayOrder(0, 0)).isFalse();
        lease.renewed(0, 0);
        assertThat(lease.mayOrder(SECOND_NANOS / 2, 500)).isTrue();
        assertThat(lease.mayOrder(2 * SECOND_NANOS, 2_000)).isFalse();
    }

    @Test
    void aMachineThatWasSuspendedAfterItsRenewalMayNotOrder() {
        hold();
        lease.renewed(0, 0);
        assertThat(lease.mayOrder(SECOND_NANOS / 10, 60_000))
                .as("the monotonic clock does not count the suspension, the time of day does")
                .isFalse();
    }

    @Test
    void aTimeOfDayThatJumpsBackStopsOrdersToo() {
        hold();
        lease.renewed(0, 100_000);
        assertThat(lease.mayOrder(SECOND_NANOS / 10, 50_000)).isFalse();
    }

    @Test
    void aNewHolderWaitsUntilOrdersOfTheOneBeforeAreLongPast() {
        lease.observe("me", 2, at(11), 0);
        lease.acquired(true, 0);
        lease.renewed(SECOND_NANOS, 1_000);
        assertThat(lease.mayOrder(SECOND_NANOS, 1_000)).isFalse();
        lease.renewed(6 * SECOND_NANOS, 6_000);
        assertThat(lease.mayOrder(6 * SECOND_NANOS, 6_000)).isTrue();
    }

    @Test
    void aLeaseIsTakenOverOnlyWhenItsRevisionStandsStillForLong() {
        lease.observe("other", 1, at(10), 0);
        assertThat(lease.hasLapsed(11 * SECOND_NANOS)).isFalse();
        lease.observe("other", 1, at(11), 11 * SECOND_NANOS);
        assertThat(lease.hasLapsed(22 * SECOND_NANOS)).isFalse();
        lease.observe("other", 1, at(11), 22 * SECOND_NANOS);
        assertThat(lease.hasLapsed(24 * SECOND_NANOS))
                .as("the same revision again is no renewal")
                .isTrue();
    }

    @Test
    void aProcessThatObservesAnotherHolderStopsOrdering() {
        hold();
        lease.renewed(0, 0);
        lease.observe("other", 2, at(12), 0);
        assertThat(lease.isHeld()).isFalse();
        assertThat(lease.mayOrder(0, 0)).isFalse();
    }

    @Test
    void anOlderRevisionIsIgnored() {
        lease.observe("other", 2, at(12), 0);
        lease.observe("me", 1, at(10), 0);
        assertThat(lease.isHeld()).isFalse();
    }
}
