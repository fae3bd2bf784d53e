package org.quetzalseam.wire.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class TimerServiceTest {
    // Guards against heartbeats, checks and renewals that are never made again after one error.
    @Test
    void aPeriodicCallIsRepeatedThoughItThrewAnError() throws InterruptedException {
        TimerService timers = new TimerService("test");
        CountDownLatch calls = new CountDownLatch(3);
        timers.every(Duration.ofMillis(5), () -> {
            calls.countDown();
            throw new InternalError("thrown by the test");
        });
        assertThat(calls.await(5, TimeUnit.SECONDS)).as("called three times").isTrue();
        timers.stop();
    }
}
