package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.site.Wait;

/** Tests {@code quetzalseamd} with a call that crashes each service that runs it. */
class CrashingCallTest {
    private static final String CRASHING_ID = "crash";
    private static final int SUSPECT_CRASHES = 3;
    private static final int MAX_REPETITIONS = 3;
    private static final long NOTICE_MILLIS = 3_000;
    private static final long OBSERVED_MILLIS = 6_000;
    private static final long RESTART_MILLIS = 300;
    private static final long INTERVAL_MILLIS = 100;

    private final TestSite site = TestSite.start();

    @AfterEach
    void stop() {
        site.close();
    }

    private void callFor(long millis, List<CompletableFuture<?>> calls) {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until) {
            calls.add(site.lookup(site.entry(calls.size() % 2), CRASHING_ID));
            pause();
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Guards against a call that crashes each service that runs it being sent to one after the other, because nobody
    // remembers it beyond one attempt.
    @Test
    void aCallThatHasCrashedThreeServicesIsSentToThreeMoreAtMost() {
        site.services().forEach(vm -> vm.backend().service().crashOn(CRASHING_ID, RESTART_MILLIS));
        List<CompletableFuture<?>> calls = new ArrayList<>();
        callFor(INTERVAL_MILLIS, calls);
        Wait.until(TestSite.LIMIT, "three crashes", () -> {
            callFor(INTERVAL_MILLIS, calls);
            return site.executions(CRASHING_ID) >= SUSPECT_CRASHES;
        });
        callFor(NOTICE_MILLIS, calls);
        int before = site.executions(CRASHING_ID);
        callFor(OBSERVED_MILLIS, calls);
        calls.forEach(call -> call.handle((answer, failure) -> answer).join());
        assertThat(site.executions(CRASHING_ID) - before)
                .as("runs of the call later than 3 s after its third crash")
                .isLessThanOrEqualTo(MAX_REPETITIONS);
    }
}
