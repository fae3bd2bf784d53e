package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Simulates entries that share a retry budget and whose retries wait between decision and sending, for memory, a permit, a place or
 * a prompt. Retries are judged when they arrive.
 */
class WaitingRetriesTest {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long WINDOW_NANOS = 10_000 * NANOS_PER_MILLI;
    private static final double RATIO = 0.2;
    private static final double SLACK = 54;
    private static final int STEP_MILLIS = 20;
    /** How long callers wait, in milliseconds, after which a retry that waits is given up. */
    private static final long PATIENCE_MILLIS = 14_000;

    private final List<Long> requests = new ArrayList<>();
    private final List<Long> arrivals = new ArrayList<>();

    private record Waiting(RetryAllowance.Reservation reservation, long decidedAt) {}

    /** One entry over all its incarnations. */
    private final class Entry {
        private final int entries;
        private RetryAllowance allowance;
        private List<Waiting> waiting = new ArrayList<>();

        Entry(int entries) {
            this.entries = entries;
            allowance = newAllowance(0);
        }

        private RetryAllowance newAllowance(long startedAt) {
            RetryAllowance created = new RetryAllowance(RATIO, SLACK, WINDOW_NANOS, startedAt);
            created.updateEntryCount(entries);
            return created;
        }

        void restart(long now) {
            allowance = newAllowance(now);
            waiting = new ArrayList<>();
        }

        void request(long now, int arrivalsPerRetry, boolean retried) {
            requests.add(now);
            allowance.recordRequest(now);
            RetryAllowance.Reservation reservation = allowance.newReservation();
            if (retried && reservation.add(now, arrivalsPerRetry)) {
                waiting.add(new Waiting(reservation, now));
            }
        }

        /** Sends what waits, and gives up what has waited for too long. */
        void sendWaiting(long now, boolean free) {
            waiting.removeIf(retry -> {
                boolean late = now - retry.decidedAt() > PATIENCE_MILLIS * NANOS_PER_MILLI;
                if (late || free) {
                    while (!late
                            && retry.reservation().unsent() > 0
                            && retry.reservation().send(now)) {
                        arrivals.add(now);
                    }
                    retry.reservation().release();
                }
                return late || free;
            });
        }
    }

    /**
     * Compares the arrivals in each window with the largest number of requests in the same window, in the previous one, and half a
     * window earlier.
     */
    private void assertWithinTheBudget() {
        for (long start : arrivals) {
            long counted = Math.max(
                    within(requests, start),
                    Math.max(within(requests, start - WINDOW_NANOS), within(requests, start - WINDOW_NANOS / 2)));
            assertThat(within(arrivals, start))
                    .as("arrivals from %d ms on, for %d requests", start / NANOS_PER_MILLI, counted)
                    .isLessThanOrEqualTo((long) (RATIO * counted + SLACK));
        }
    }

    private static long within(List<Long> times, long start) {
        return times.stream()
                .filter(time -> time >= start && time < start + WINDOW_NANOS)
                .count();
    }

    // Guards against retries that were decided over some seconds arriving together: 118 in a window that allowed 74.
    @ParameterizedTest
    @ValueSource(longs = {0, 2_000, 4_000, 8_000, 12_000})
    void retriesThatWaitForTheSameMemoryArriveWithinTheBudget(long waitMillis) {
        Entry entry = new Entry(1);
        for (long millis = 0; millis < 60_000; millis += STEP_MILLIS) {
            long now = millis * NANOS_PER_MILLI;
            boolean failing = millis >= 20_000;
            if (millis % 100 == 0) {
                entry.request(now, 1, failing);
            }
            entry.sendWaiting(now, millis >= 20_000 + waitMillis);
        }
        assertThat(arrivals).hasSizeGreaterThan(100);
        assertWithinTheBudget();
    }

    // Guards against the same with several entries, kills, two arrivals a retry, and traffic that stops while retries
    // wait.
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void entriesWhoseRetriesWaitForAnyTimeStayWithinTheBudget(long seed) {
        Random random = new Random(seed);
        int count = 1 + random.nextInt(6);
        double requestsPerStep = 0.02 + 0.6 * random.nextDouble();
        double killsPerStep = random.nextInt(3) == 0 ? 0.002 : 0;
        double freePerStep = 0.002 + 0.05 * random.nextDouble();
        double busyPerStep = 0.02 * random.nextDouble();
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(new Entry(count));
        }
        boolean free = true;
        boolean traffic = true;
        for (long millis = 0; millis < 90_000; millis += STEP_MILLIS) {
            long now = millis * NANOS_PER_MILLI;
            free = free ? random.nextDouble() >= busyPerStep : random.nextDouble() < freePerStep;
            traffic = random.nextDouble() < 0.002 ? !traffic : traffic;
            for (Entry entry : entries) {
                if (random.nextDouble() < killsPerStep) {
                    entry.restart(now);
                }
                if (traffic && random.nextDouble() < requestsPerStep) {
                    entry.request(now, 1 + random.nextInt(2), random.nextDouble() < 0.7);
                }
                entry.sendWaiting(now, free);
            }
        }
        assertThat(arrivals).isNotEmpty();
        assertWithinTheBudget();
    }

    @Test
    void aRetryThatIsGivenUpLeavesItsPartOfTheBudgetToOthers() {
        RetryAllowance allowance = new Entry(1).newAllowance(-2 * WINDOW_NANOS);
        RetryAllowance.Reservation all = allowance.newReservation();
        assertThat(all.add(0, 43)).isTrue();
        assertThat(allowance.tryRetry(0)).isFalse();
        all.release();
        assertThat(allowance.tryRetry(0)).isTrue();
    }

    @Test
    void aRetryThatWasNotSentAfterAllCanBeSentElsewhere() {
        RetryAllowance allowance = new Entry(1).newAllowance(-2 * WINDOW_NANOS);
        RetryAllowance.Reservation one = allowance.newReservation();
        assertThat(one.add(0, 1)).isTrue();
        assertThat(one.send(1)).isTrue();
        one.takeBack();
        assertThat(one.unsent()).isEqualTo(1);
        assertThat(allowance.inputs(2).retries()).isZero();
        assertThat(one.send(3)).isTrue();
    }
}
