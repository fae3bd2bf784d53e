package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

class EarlierWaitEstimatorTest {
    private final EarlierWaitEstimator estimator = new EarlierWaitEstimator();

    /** Records enough callers with the same timeout for it to count as common. */
    private void severalWith(long timeoutMillis) {
        for (int i = 0; i < 5; i++) {
            assertThat(estimator.estimateMillis(timeoutMillis)).isZero();
        }
    }

    @Test
    void aCallerThatWaitsLessLongThanTheOthersIsRetrying() {
        severalWith(14_000);
        assertThat(estimator.estimateMillis(13_997)).as("network delay").isZero();
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
     * Guards against first attempts that are mistaken for retries. Callers each draw their timeout from 11.9 to 16.1 s,
     * as where persons and not programs stop waiting: four in five wait over 900 ms less than the longest, which is the
     * whole objective of a first event, though all of them are first attempts.
     */
    @Test
    void callersThatBeginWithDifferentWaitsCountAsFirstAttempts() {
        Random random = new Random(7);
        for (int i = 0; i < 500; i++) {
            long timeoutMillis = 11_900L + random.nextInt(4_200);
            assertThat(estimator.estimateMillis(timeoutMillis))
                    .as("caller %s", i)
                    .isZero();
        }
    }

    /**
     * An overload in which every caller is refused once: half of all requests are second attempts, a second or more
     * later.
     */
    @Test
    void retriesAreStillDetectedWhenEveryCallerRetriesOnce() {
        Random random = new Random(7);
        severalWith(14_000);
        int detected = 0;
        for (int i = 0; i < 500; i++) {
            assertThat(estimator.estimateMillis(14_000 - random.nextInt(5))).isZero();
            detected += estimator.estimateMillis(13_000 - random.nextInt(1_000)) > 0 ? 1 : 0;
        }
        assertThat(detected).isGreaterThan(480);
    }
}
