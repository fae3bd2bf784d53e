package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests entries that share a retry budget, are killed, and restart without knowing what they have spent. */
class RetryAllowanceRestartTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WINDOW_NANOS = 10_000 * NANOS_PER_MILLI;
    private static final double RATIO = 0.2;
    private static final double SLACK = 56;
    private static final int ENTRIES = 5;
    /** Time before the first request, in milliseconds. */
    private static final long FIRST_REQUEST_MILLIS = 15_000;

    /** One entry over all its incarnations. */
    private static final class Entry {
        private RetryAllowance allowance = newAllowance(0);

        private static RetryAllowance newAllowance(long startedAt) {
            RetryAllowance allowance = new RetryAllowance(RATIO, SLACK, WINDOW_NANOS, startedAt);
            allowance.updateEntryCount(ENTRIES);
            return allowance;
        }

        void restart(long now) {
            allowance = newAllowance(now);
        }
    }

    private final List<Long> requests = new ArrayList<>();
    private final List<Long> retries = new ArrayList<>();

    private void request(Entry entry, long now) {
        requests.add(now);
        entry.allowance.recordRequest(now);
    }

    /** Spends all retries that the budget allows, as where engines fail. */
    private void retryAll(Entry entry, long now) {
        while (entry.allowance.tryRetry(now)) {
            retries.add(now);
        }
    }

    /**
     * Compares the retries in each window with the largest number of requests in the same window, in the previous one,
     * and half a window earlier.
     */
    private void assertWithinTheBudget() {
        for (long start : retries) {
            long counted = Math.max(
                    within(requests, start),
                    Math.max(within(requests, start - WINDOW_NANOS), within(requests, start - WINDOW_NANOS / 2)));
            assertThat(within(retries, start))
                    .as("retries from %d ms on, for %d requests", start / NANOS_PER_MILLI, counted)
                    .isLessThanOrEqualTo((long) (RATIO * counted + SLACK));
        }
    }

    private static long within(List<Long> times, long start) {
        return times.stream()
                .filter(time -> time >= start && time < start + WINDOW_NANOS)
                .count();
    }

    // Guards against a budget that each incarnation of an entry gets in full: 135 retries in a window that allows 74.
    @Test
    void entriesThatAreAllKilledTwiceInAWindowStayWithinTheBudget() {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
        for (long millis = FIRST_REQUEST_MILLIS; millis <= FIRST_REQUEST_MILLIS + 6_000; millis += 3_000) {
            long now = millis * NANOS_PER_MILLI;
            for (Entry entry : entries) {
                if (millis > FIRST_REQUEST_MILLIS) {
                    entry.restart(now);
                }
                for (int i = 0; i < 6; i++) {
                    request(entry, now);
                }
                retryAll(entry, now + NANOS_PER_MILLI);
            }
        }
        assertWithinTheBudget();
    }

    // Guards against the same with kills, requests and retries at random moments.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void entriesThatAreKilledAtAnyMomentsStayWithinTheBudget(long seed) {
        Random random = new Random(seed);
        double requestsPerStep = 0.02 + random.nextDouble();
        double killsPerStep = 0.002 + 0.03 * random.nextDouble();
        double retriesPerStep = 0.02 + 0.5 * random.nextDouble();
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
        for (long millis = FIRST_REQUEST_MILLIS; millis < FIRST_REQUEST_MILLIS + 40_000; millis += 50) {
            long now = millis * NANOS_PER_MILLI;
            for (Entry entry : entries) {
                if (random.nextDouble() < killsPerStep) {
                    entry.restart(now);
                }
                if (random.nextDouble() < requestsPerStep) {
                    request(entry, now);
                }
                if (random.nextDouble() < retriesPerStep) {
                    retryAll(entry, now);
                }
            }
        }
        assertWithinTheBudget();
    }

    // Guards against a fix that leaves an entry without any part of the slack for a whole window.
    @Test
    void aRestartedEntryHasAPartOfTheSlackBeforeAWindowIsOver() {
        RetryAllowance allowance = Entry.newAllowance(0);
        assertThat(allowance.tryRetry(WINDOW_NANOS / 2)).isTrue();
    }
}
