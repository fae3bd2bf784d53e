package org.quetzalseam.gateway.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TimersTest {
    private long monotonicNanos;
    private long wallMillis;
    private final Timers timers = new Timers(new EmbeddedChannel().eventLoop(), () -> monotonicNanos, () -> wallMillis);

    private void pass(long monotonicMillis, long wallClockMillis) {
        monotonicNanos += TimeUnit.MILLISECONDS.toNanos(monotonicMillis);
        wallMillis += wallClockMillis;
    }

    private long elapsedMillis(long since) {
        return TimeUnit.NANOSECONDS.toMillis(timers.elapsed() - since);
    }

    // Guards against a machine that was suspended taking what it knew before for recent.
    @Test
    void elapsedTimeCountsASuspensionThatTheMonotonicClockLeavesOut() {
        long start = timers.elapsed();
        pass(100, 7_100);
        assertThat(elapsedMillis(start)).isEqualTo(7_100);
    }

    @Test
    void elapsedTimeNeverLagsBehindTheMonotonicClock() {
        long start = timers.elapsed();
        pass(100, -5_000);
        assertThat(elapsedMillis(start)).isEqualTo(100);
        pass(100, 100);
        assertThat(elapsedMillis(start)).isEqualTo(200);
    }

    @Test
    void smallDifferencesOfTheClocksAreNoSuspension() {
        long start = timers.elapsed();
        pass(1_000, 1_010);
        assertThat(elapsedMillis(start)).isEqualTo(1_000);
    }

    // Guards against a renewal, check or report that is never made again after one error.
    @Test
    void aRepeatedCallIsRepeatedThoughItThrewAnError() {
        EmbeddedChannel channel = new EmbeddedChannel();
        channel.freezeTime();
        int[] calls = new int[1];
        long failures = ThrownErrors.total();
        new Timers(channel.eventLoop()).every(10, () -> {
            calls[0]++;
            throw new InternalError("thrown by the test");
        });
        for (int i = 0; i < 3; i++) {
            channel.advanceTimeBy(10, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
        assertThat(calls[0]).isEqualTo(3);
        assertThat(ThrownErrors.total() - failures).isEqualTo(3);
    }
}
