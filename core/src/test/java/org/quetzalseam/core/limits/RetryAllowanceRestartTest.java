package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Entries that share a retry budget, are killed, and start again without a memory of what they have spent. */
class RetryAllowanceRestartTest {
    private static final long MILLI = 1_000_000;
    private static final long WINDOW = 10_000 * MILLI;
    private static final double RATIO = 0.2;
    private static final double SLACK = 56;
    private static final int ENTRIES = 5;
    /** Time before the first request, in milliseconds. */
    private static final long FIRST_REQUEST_MILLIS = 15_000;

    /** One entry over all its lives. */
    private static final class Entry {
        private RetryAllowance allowance = newAllowance(0);

        private static RetryAllowance newAllowance(long startedAt) {
            RetryAllowance allowance = new RetryAllowance(RATIO, SLACK, WINDOW, startedAt);
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

    /** Engines fail, so that whatever the budget allows is sent again. */
    private void retryAll(Entry entry, long now) {
        while (entry.allowance.tryRetry(now)) {
            retries.add(now);
        }
    }

    /** Requests are counted in the window of the retries, in the one before it, or half a window before it. */
    private void assertWithinTheBudget() {
        for (long start : retries) {
            long counted = Math.max(
                    within(requests, start),
                    Math.max(within(requests, start - WINDOW), within(requests, start - WINDOW / 2)));
            assertThat(within(retries, start))
                    .as("retries from %d ms on, for %d requests", start / MILLI, counted)
                    .isLessThanOrEqualTo((long) (RATIO * counted + SLACK));
        }
    }

    private static long within(List<Long> times, long start) {
        return times.stream()
                .filter(time -> time >= start && time < start + WINDOW)
                .count();
    }

    // Guards against a budget that each life of an entry has anew: 135 retries in a window that allows 74.
    @Test
    void entriesThatAreAllKilledTwiceInAWindowStayWithinTheBudget() {
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < ENTRIES; i++) {
            entries.add(new Entry());
        }
        for (long millis = FIRST_REQUEST_MILLIS; millis <= FIRST_REQUEST_MILLIS + 6_000; millis += 3_000) {
            long now = millis * MILLI;
            for (Entry entry : entries) {
                if (millis > FIRST_REQUEST_MILLIS) {
                    entry.restart(now);
                }
                for (int i = 0; i < 6; i++) {
                    request(entry, now);
                }
                retryAll(entry, now + MILLI);
            }
        }
        assertWithinTheBudget();
    }

    // Guards against the same at any moments of kills, requests and retries.
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
            long now = millis * MILLI;
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

    // Guards against a mend that leaves an entry without any part of the slack for a whole window.
    @Test
    void aRestartedEntryHasAPartOfTheSlackBeforeAWindowIsOver() {
        RetryAllowance allowance = Entry.newAllowance(0);
        assertThat(allowance.tryRetry(WINDOW / 2)).isTrue();
    }
}
