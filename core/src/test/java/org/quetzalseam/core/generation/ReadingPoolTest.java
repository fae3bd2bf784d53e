package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadingPoolTest {
    private static final ReadingDay.Entries ENTRIES = FixedLimitEntry::new;

    @ParameterizedTest(name = "load {0}, {1} tokens a ms, in turns {2}")
    @CsvSource({
        "2, 55, true", "2, 55, false", "2, 14, true", "2, 14, false",
        "4, 55, true", "4, 55, false", "4, 14, true", "4, 14, false"
    })
    void underMoreThanThePoolCanReadGoodputStaysNearItsCapacity(double load, double pace, boolean turns) {
        for (long seed = 1; seed <= 5; seed++) {
            ReadingDay.Result day = new ReadingDay(ENTRIES, 5, 3, pace, turns, seed).play(load, load, 0, 30_000);
            assertThat(day.inTime()).as("seed %d: %s", seed, day).isGreaterThan(0.7);
        }
    }
}
