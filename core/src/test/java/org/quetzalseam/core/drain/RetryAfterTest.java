package org.quetzalseam.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** When the callers whom a leaving entry has refused come back. */
class RetryAfterTest {
    private static final long BEGUN = 5_000_000_000L;
    private static final long GRACE_MILLIS = 8_000;
    /** From the end of a process until its successor listens, in milliseconds. */
    private static final long START_MILLIS = 1_200;

    private final GracePeriod grace = new GracePeriod(BEGUN, TimeUnit.MILLISECONDS.toNanos(GRACE_MILLIS), 0, 1);
    private final Random random = new Random(11);

    /** Returns when callers come back who are refused at a steady rate, in milliseconds after the signal. */
    private long[] retryTimes() {
        return LongStream.iterate(3_100, at -> at < 7_500, at -> at + 20)
                .map(at -> at + grace.retryAfterMillis(BEGUN + TimeUnit.MILLISECONDS.toNanos(at), random.nextDouble()))
                .sorted()
                .toArray();
    }

    /** A successor has just started and knows nothing yet: whoever was refused in seconds would be there at one moment. */
    @Test
    void callersRefusedOverSecondsDoNotRetryAtOneMoment() {
        long[] returns = retryTimes();
        int most = 0;
        for (long from : returns) {
            most = Math.max(most, (int) Arrays.stream(returns)
                    .filter(at -> at >= from && at < from + 500)
                    .count());
        }
        assertThat(most).isLessThan(returns.length / 2);
    }

    @Test
    void noCallerRetriesBeforeTheSuccessorListens() {
        assertThat(retryTimes()[0]).isGreaterThan(GRACE_MILLIS + START_MILLIS - 400);
    }
}
