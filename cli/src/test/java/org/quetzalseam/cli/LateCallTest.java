package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.site.SiteOptions;
import org.quetzalseam.cli.site.Wait;

/** Tests requests that reach an entry of quetzalseamd after it has been told to stop, and outlast the time that it has left. */
class LateCallTest {
    /** How long a call lasts after the signal, in milliseconds: longer than an entry waits for its calls. */
    private static final long UNEXPECTED_MILLIS = 8_000;

    /** The most outputs that the long completions' catalogue entry admits: they last longer than an entry waits for them. */
    private static final int MOST_OUTPUTS = 2_000;

    private final TestSite site = TestSite.start(
            SiteOptions.defaults().withTiming("lame-duck-ms", "2000").withTiming("drain-seconds", "3"));

    @AfterEach
    void stop() {
        site.close();
    }

    // Guards against a call being taken after the signal, and cut without an answer when the entry has waited for long
    // enough.
    @Test
    void aLateCallThatMayOutlastItsEntryIsRefusedAndOneThatCannotIsAnswered() {
        assertThat(site.deposit(site.entry(0), "", "learnt").join().statusCode())
                .isEqualTo(200);
        CompletableFuture<Void> stopped = beginStop();
        CompletableFuture<HttpResponse<String>> quick = site.deposit(site.entry(0), "", "quick", 800);
        assertThat(quick.join().statusCode()).isEqualTo(200);
        site.services().forEach(vm -> vm.backend().service().slow(UNEXPECTED_MILLIS));
        HttpResponse<String> late = site.deposit(site.entry(0), "", "late").join();
        assertThat(late.statusCode()).as(late.body()).isEqualTo(503);
        assertThat(late.body()).contains("stopping");
        HttpResponse<String> keyed =
                site.deposit(site.entry(0), "late-key", "late-keyed").join();
        assertThat(keyed.statusCode()).as(keyed.body()).isEqualTo(503);
        stopped.join();
        Wait.sleep(Duration.ofMillis(500));
        assertThat(site.executions("late") + site.executions("late-keyed")).isZero();
        assertThat(site.executions("quick")).isEqualTo(1);
    }

    private CompletableFuture<Void> beginStop() {
        CompletableFuture<Void> stopped = CompletableFuture.runAsync(site.entry(0)::stop, TestThreads.EXECUTOR);
        Wait.until(
                TestSite.LIMIT,
                "the entry reports that it stops",
                () -> !site.entry(0).daemon().accepting());
        return stopped;
    }

    // Guards against a completion without a deadline being begun after the signal, and broken off at the end of the
    // stop.
    @Test
    void aLateCompletionThatMayOutlastItsEntryIsRefusedAndAShortOneIsAnswered() {
        CompletableFuture<Void> stopped = beginStop();
        Sample late =
                site.longCompletion(site.entry(0), 1_200, MOST_OUTPUTS, -1).join();
        assertThat(late.outcome()).as(late.code()).isEqualTo(CallerOutcome.NOT_RUN);
        assertThat(late.code()).isEqualTo("stopping");
        assertThat(late.retryAfter()).isTrue();
        Sample brief = site.shortCompletion(site.entry(0)).join();
        assertThat(brief.outcome()).as(brief.code()).isEqualTo(CallerOutcome.ANSWERED);
        stopped.join();
    }
}
