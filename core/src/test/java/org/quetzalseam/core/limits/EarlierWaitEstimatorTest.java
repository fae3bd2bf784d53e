package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class EarlierWaitEstimatorTest {
    private final EarlierWaitEstimator estimator = new EarlierWaitEstimator();

    /** Enough callers of the same patience for it to count as common. */
    private void severalWith(long patienceMillis) {
        for (int i = 0; i < 5; i++) {
            assertThat(estimator.estimateMillis(patienceMillis)).isZero();
        }
    }

    @Test
    void aCallerThatWaitsLessLongThanTheOthersIsRetrying() {
        severalWith(14_000);
        assertThat(estimator.estimateMillis(13_997)).as("the path's time").isZero();
        assertThat(estimator.estimateMillis(12_000)).isBetween(1_990L, 2_000L);
    }

    @Test
    void aCallerWithoutADeadlineCountsAsAFirstAttempt() {
        severalWith(14_000);
        assertThat(estimator.estimateMillis(Long.MAX_VALUE)).isZero();
    }

    @Test
    void aShorterWaitOfAllCallersIsDetected() {
        estimator.estimateMillis(14_000);
        for (int i = 0; i < 5_000; i++) {
            estimator.estimateMillis(10_000);
        }
        assertThat(estimator.estimateMillis(10_000)).isZero();
    }

    /**
     * Callers who each draw their patience from 11.9 to 16.1 s, as where it is a person's and not a program's: four in five have
     * over 900 ms less than the most patient, the whole objective of a first event, though all of them come for the first time.
     */
    @Test
    void callersThatBeginWithDifferentWaitsCountAsFirstAttempts() {
        Random random = new Random(7);
        for (int i = 0; i < 500; i++) {
            long drawn = 11_900L + random.nextInt(4_200);
            assertThat(estimator.estimateMillis(drawn)).as("caller %s", i).isZero();
        }
    }

    /** An overload in which every caller is refused once: half of all requests are second tries, a second or more later. */
    @Test
    void retriesAreStillDetectedWhenEveryCallerRetriesOnce() {
        Random random = new Random(7);
        severalWith(14_000);
        int told = 0;
        for (int i = 0; i < 500; i++) {
            assertThat(estimator.estimateMillis(14_000 - random.nextInt(5))).isZero();
            told += estimator.estimateMillis(13_000 - random.nextInt(1_000)) > 0 ? 1 : 0;
        }
        assertThat(told).isGreaterThan(480);
    }
}
