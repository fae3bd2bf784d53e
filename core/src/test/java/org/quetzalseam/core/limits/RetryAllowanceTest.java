package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryAllowanceTest {
    private static final long WINDOW_NANOS = 10_000_000_000L;
    private static final double RATIO = 0.2;
    private static final double SLACK = 56;
    private static final long LONG_AGO = -10 * WINDOW_NANOS;

    private static int spent(RetryAllowance allowance, long now) {
        int spent = 0;
        while (allowance.tryRetry(now)) {
            spent++;
        }
        return spent;
    }

    @Test
    void allEntriesTogetherStayWithinTheBudgetHoweverTrafficIsShared() {
        int[] requests = {0, 1, 10, 300, 1_000};
        List<RetryAllowance> entries = new ArrayList<>();
        int all = 0;
        int retries = 0;
        for (int share : requests) {
            RetryAllowance allowance = new RetryAllowance(RATIO, SLACK, WINDOW_NANOS, LONG_AGO);
            allowance.updateEntryCount(requests.length);
            entries.add(allowance);
            for (int i = 0; i < share; i++) {
                allowance.recordRequest(1);
            }
            all += share;
        }
        for (RetryAllowance allowance : entries) {
            retries += spent(allowance, 2);
        }
        assertThat((double) retries).isLessThanOrEqualTo(RATIO * all + SLACK);
        assertThat(retries).isGreaterThan((int) (0.7 * (RATIO * all + SLACK)));
    }

    @Test
    void anEntryThatDoesNotKnowTheEntryCountUsesASmallPartOfTheSlack() {
        assertThat(spent(new RetryAllowance(RATIO, SLACK, WINDOW_NANOS, LONG_AGO), 1))
                .isLessThanOrEqualTo(2);
    }

    @Test
    void aCrashAtTheStartOfTrafficLeavesRetriesForRequestsThatCanGoOn() {
        RetryAllowance allowance = new RetryAllowance(RATIO, SLACK, WINDOW_NANOS, LONG_AGO);
        allowance.updateEntryCount(5);
        for (int i = 0; i < 5; i++) {
            allowance.recordRequest(1);
        }
        assertThat(spent(allowance, 2)).isGreaterThanOrEqualTo(8);
    }

    @Test
    void spentRetriesAreAvailableAgainAfterTheWindow() {
        RetryAllowance allowance = new RetryAllowance(RATIO, SLACK, WINDOW_NANOS, LONG_AGO);
        allowance.updateEntryCount(5);
        int first = spent(allowance, 1);
        assertThat(spent(allowance, WINDOW_NANOS)).isZero();
        assertThat(spent(allowance, WINDOW_NANOS + 2)).isEqualTo(first);
    }

    @Test
    void severalRetriesAreTakenTogetherOrNotAtAll() {
        RetryAllowance few = new RetryAllowance(0, 5, 1_000, -10_000);
        few.updateEntryCount(1);
        assertThat(few.tryRetries(0, 3)).isTrue();
        assertThat(few.tryRetries(0, 2)).isFalse();
        assertThat(few.tryRetry(0)).isTrue();
        assertThat(few.tryRetry(0)).isFalse();
    }
}
