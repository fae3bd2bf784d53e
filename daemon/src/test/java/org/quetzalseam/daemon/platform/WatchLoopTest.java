package org.quetzalseam.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.wire.runtime.ThrownErrors;

class WatchLoopTest {
    private static final long LIMIT_SECONDS = 10;

    private final CountDownLatch polls = new CountDownLatch(3);
    private RuntimeException failure = new IllegalStateException("thrown by the test");
    private final WatchLoop failing = new WatchLoop("test", wait -> {
        polls.countDown();
        throw failure;
    });
    private final WatchLoop erring = new WatchLoop("test", wait -> {
        polls.countDown();
        throw new InternalError("thrown by the test");
    });

    @AfterEach
    void stop() {
        failing.stop();
        erring.stop();
    }

    // Guards against a catalogue or a list of VMs that is never read again after one error, such as of a full heap.
    @Test
    void anErrorDoesNotEndTheLoopAndIsCounted() throws InterruptedException {
        long recorded = ThrownErrors.total();
        erring.start();
        assertThat(polls.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(ThrownErrors.total()).isGreaterThan(recorded);
    }

    @Test
    void anExceptionOfTheProgramIsCounted() throws InterruptedException {
        long recorded = ThrownErrors.total();
        failing.start();
        assertThat(polls.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(ThrownErrors.total()).isGreaterThan(recorded);
    }

    @Test
    void anOutageOfTheStoreIsNoFaultOfTheProgram() throws InterruptedException {
        failure = new StoreException(StoreException.Code.UNAVAILABLE, "no answer", null);
        long recorded = ThrownErrors.total();
        failing.start();
        assertThat(polls.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(ThrownErrors.total()).isEqualTo(recorded);
    }
}
