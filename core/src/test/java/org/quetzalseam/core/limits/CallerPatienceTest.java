package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CallerPatienceTest {
    private final CallerPatience patience = new CallerPatience();

    @Test
    void aCallerWithLessPatienceThanTheOthersHasComeBack() {
        assertThat(patience.spent(14_000)).isZero();
        assertThat(patience.spent(13_997)).as("the path's time").isZero();
        assertThat(patience.spent(12_000)).isBetween(1_990L, 2_000L);
    }

    @Test
    void aCallerWhoDoesNotSayIsTakenForAFirstTry() {
        patience.spent(14_000);
        assertThat(patience.spent(Long.MAX_VALUE)).isZero();
    }

    @Test
    void aShorterPatienceOfAllIsLearnt() {
        patience.spent(14_000);
        for (int i = 0; i < 5_000; i++) {
            patience.spent(10_000);
        }
        assertThat(patience.spent(10_000)).isZero();
    }
}
