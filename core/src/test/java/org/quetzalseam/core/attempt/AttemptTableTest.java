package org.quetzalseam.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class AttemptTableTest {
    private static final long LEASE_NANOS = 100;
    private static final AttemptId ID = new AttemptId(1, 2, 1);

    private final AttemptTable<String> table = new AttemptTable<>(LEASE_NANOS, 1000);

    @Test
    void anAttemptThatWasSealedBeforeItArrivedIsRefused() {
        assertThat(table.seal(ID, 0)).isEqualTo(SealResult.BEFORE_START);
        assertThat(table.offer(ID, "late", 1)).isFalse();
        assertThat(table.start(ID, 2)).isFalse();
    }

    @Test
    void anAttemptThatWasSealedWhileItWaitedNeverStarts() {
        table.offer(ID, "work", 0);
        assertThat(table.seal(ID, 1)).isEqualTo(SealResult.BEFORE_START);
        assertThat(table.start(ID, 2)).isFalse();
    }

    @Test
    void sealingReportsWhetherAnAttemptHasStartedOrEnded() {
        table.offer(ID, "work", 0);
        table.start(ID, 1);
        assertThat(table.seal(ID, 2)).isEqualTo(SealResult.STARTED);
        table.finish(ID, 3);
        assertThat(table.seal(ID, 4)).isEqualTo(SealResult.FINISHED);
    }

    @Test
    void anAttemptOfferedAndStartedTwiceStartsOnce() {
        assertThat(table.offer(ID, "work", 0)).isTrue();
        assertThat(table.offer(ID, "work again", 0)).isFalse();
        assertThat(table.start(ID, 1)).isTrue();
        assertThat(table.start(ID, 1)).isFalse();
    }

    @Test
    void anAttemptWhoseLeaseHasExpiredDoesNotStart() {
        table.offer(ID, "work", 0);
        assertThat(table.start(ID, LEASE_NANOS + 1)).isFalse();
    }

    @Test
    void anExpiredAttemptIsReturnedOnceAndNeverStarts() {
        table.offer(ID, "work", 0);
        assertThat(table.expireLeases(LEASE_NANOS + 1)).containsExactly("work");
        assertThat(table.expireLeases(LEASE_NANOS + 2)).isEmpty();
        table.renew(List.of(ID), LEASE_NANOS + 3);
        assertThat(table.start(ID, LEASE_NANOS + 4)).isFalse();
    }

    @Test
    void aRenewedAttemptDoesNotExpire() {
        table.offer(ID, "work", 0);
        table.renew(List.of(ID), LEASE_NANOS);
        assertThat(table.expireLeases(LEASE_NANOS + 1)).isEmpty();
        assertThat(table.start(ID, LEASE_NANOS + 2)).isTrue();
    }

    @Test
    void leasesDoNotExpireBecauseTheGrantingProcessWasPaused() {
        table.offer(ID, "work", 0);
        table.renewAll(5 * LEASE_NANOS);
        assertThat(table.expireLeases(6 * LEASE_NANOS)).isEmpty();
    }

    @Test
    void endedAttemptsArePurgedOnlyAfterTheRetention() {
        table.offer(ID, "work", 0);
        table.start(ID, 1);
        table.finish(ID, 2);
        assertThat(table.purge(1000)).isZero();
        assertThat(table.work(ID)).isEqualTo("work");
        assertThat(table.purge(1003)).isEqualTo(1);
        assertThat(table.work(ID)).isNull();
    }
}
