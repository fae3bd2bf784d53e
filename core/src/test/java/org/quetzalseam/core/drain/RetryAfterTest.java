package org.quetzalseam.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Tests when callers retry that a draining entry has refused. */
class RetryAfterTest {
    private static final long BEGUN_NANOS = 5_000_000_000L;
    private static final long GRACE_MILLIS = 8_000;
    /** From the end of a process until its successor listens, in milliseconds. */
    private static final long START_MILLIS = 1_200;

    private final GracePeriod grace = new GracePeriod(BEGUN_NANOS, TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS), 0, 1);
    private final Random random = new Random(11);

    /** Returns when callers retry that are refused at a steady rate, in milliseconds after the signal to stop. */
    private long[] retryTimes() {
        return LongStream.iterate(3_100, at -> at < 7_500, at -> at + 20)
                .map(at -> at
                        + grace.retryAfterMillis(BEGUN_NANOS + TimeUnit.MILLISECONDS.toNanos(at), random.nextDouble()))
                .sorted()
                .toArray();
    }

    /**
     * Guards against all callers that were refused over seconds retrying at one moment, at a successor that has just
     * started and has no statistics yet.
     */
    @Test
    void callersRefusedOverSecondsDoNotRetryAtOneMoment() {
        long[] times = retryTimes();
        int most = 0;
        for (long from : times) {
            most = Math.max(most, (int) Arrays.stream(times)
                    .filter(at -> at >= from && at < from + 500)
                    .count());
        }
        assertThat(most).isLessThan(times.length / 2);
    }

    @Test
    void noCallerRetriesBeforeTheSuccessorListens() {
        assertThat(retryTimes()[0]).isGreaterThan(GRACE_MILLIS + START_MILLIS - 400);
    }
}
