package org.quetzalseam.http;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class ArrivalTimesTest {
    private final ArrivalTimes times = new ArrivalTimes();

    @Test
    void aByteArrivedWithThoseUpToTheNextRecordedEnd() {
        times.add(10, 1);
        times.add(20, 2);
        assertThat(times.at(10, 9)).isEqualTo(1);
        assertThat(times.at(11, 9)).isEqualTo(2);
        assertThat(times.at(21, 9)).isEqualTo(9);
    }

    // Guards against a client that sends single bytes making the record grow, and against a later time than the true
    // one.
    @Test
    void beyondTheBoundBytesCountAsHavingArrivedEarlier() {
        for (int i = 1; i <= 10 * ArrivalTimes.MOST_TIMES; i++) {
            times.add(i, i);
        }
        assertThat(times.at(ArrivalTimes.MOST_TIMES, 0)).isEqualTo(ArrivalTimes.MOST_TIMES);
        assertThat(times.at(10 * ArrivalTimes.MOST_TIMES, 0)).isEqualTo(ArrivalTimes.MOST_TIMES);
    }
}
