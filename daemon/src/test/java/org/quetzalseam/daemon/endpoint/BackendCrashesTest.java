package org.quetzalseam.daemon.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.standins.raw.RawServer;
import org.quetzalseam.wire.message.LostRequest;
import org.quetzalseam.wire.runtime.ThrownErrors;

class BackendCrashesTest {
    private static final long REPORT_SECONDS = 5;

    private final RawServer backend = new RawServer((request, connection) -> connection.reset());
    private final BlockingQueue<List<LostRequest>> reports = new LinkedBlockingQueue<>();
    private final AtomicLong clock = new AtomicLong(1);
    private final BackendCrashes crashes =
            new BackendCrashes("e", "http://127.0.0.1:" + backend.port(), reports::add, clock::get);

    @AfterEach
    void stop() {
        crashes.stop();
        backend.close();
    }

    private @Nullable List<LostRequest> nextReport() {
        try {
            return reports.poll(REPORT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
    }

    private void lose(String request, long sentAt) {
        clock.incrementAndGet();
        crashes.recordLost(request, sentAt);
    }

    @Test
    void aRequestThatABackEndLostWhichIsDownNowIsReported() {
        backend.close();
        lose("r", 1);
        assertThat(nextReport()).containsExactly(new LostRequest("r", "e#1"));
        assertThat(crashes.recentlyLost()).containsExactly(new LostRequest("r", "e#1"));
    }

    // Guards against requests being quarantined because a living back end closed their connections.
    @Test
    void aConnectionThatALivingBackEndClosesIsNoCrash() throws InterruptedException {
        lose("r", 1);
        assertThat(reports.poll(500, TimeUnit.MILLISECONDS)).isNull();
        assertThat(crashes.recentlyLost()).isEmpty();
    }

    @Test
    void requestsThatWereSentBeforeACrashWasKnownShareItAndALaterOneShowsAnother() {
        backend.close();
        lose("r", 1);
        nextReport();
        lose("q", 1);
        assertThat(nextReport()).containsExactly(new LostRequest("q", "e#1"));
        lose("r", clock.get() + 1);
        assertThat(nextReport()).containsExactly(new LostRequest("r", "e#2"));
    }

    // Guards against an endpoint that can't start because its back end's address states no port.
    @Test
    void theAddressOfABackEndMayStateNoPort() {
        BackendCrashes withoutPort = new BackendCrashes("e", "http://127.0.0.1", reports::add, clock::get);
        assertThat(withoutPort.recentlyLost()).isEmpty();
        withoutPort.stop();
    }

    // Guards against a flood of lost requests filling memory.
    @Test
    void theNewestLostRequestsAreKept() {
        backend.close();
        List<LostRequest> all = new ArrayList<>();
        for (int i = 0; i < 2 * BackendCrashes.MAX_LOST; i++) {
            lose("r" + i, 1);
            List<LostRequest> report = nextReport();
            assertThat(report).hasSize(1);
            all.addAll(report);
        }
        assertThat(crashes.recentlyLost()).isEqualTo(all.subList(BackendCrashes.MAX_LOST, all.size()));
    }

    // Guards against crashes that are never looked for again because one check failed.
    @Test
    void aCheckThatFailsDoesNotEndTheChecks() throws InterruptedException {
        long recorded = ThrownErrors.total();
        BackendCrashes unusable = new BackendCrashes("e", "http://127.0.0.1:70000", reports::add, clock::get);
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(REPORT_SECONDS);
        while (ThrownErrors.total() < recorded + 2 && System.nanoTime() - end < 0) {
            unusable.recordLost("r", 1);
            TimeUnit.MILLISECONDS.sleep(20);
        }
        unusable.stop();
        assertThat(ThrownErrors.total() - recorded).as("failed checks").isGreaterThanOrEqualTo(2);
    }
}
