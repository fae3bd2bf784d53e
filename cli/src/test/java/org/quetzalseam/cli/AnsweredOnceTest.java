package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.load.CallerOutcome;
import org.quetzalseam.cli.load.Sample;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.Wait;

class AnsweredOnceTest {
    private final TestSite site = TestSite.start();

    @AfterEach
    void stop() {
        site.close();
    }

    @Test
    void anAnswerIsCompleteThoughItsConnectionIsCutRepeatedly() {
        CompletableFuture<Sample> sample = site.longCompletion(site.entry(0), 1500, 400, -1);
        site.awaitHeld(1);
        EndpointVm decoder = site.busyDecodeEndpoint();
        for (int i = 0; i < 5; i++) {
            decoder.proxy().cut();
            Wait.sleep(Duration.ofMillis(150));
        }
        assertThat(sample.join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
        site.awaitAllFree();
    }

    @Test
    void anAnswerIsCompleteThoughTheNetworkDelaysIt() {
        CompletableFuture<Sample> sample = site.longCompletion(site.entry(0), 1500, 400, -1);
        site.awaitHeld(1);
        EndpointVm decoder = site.busyDecodeEndpoint();
        decoder.proxy().freeze(true);
        Wait.sleep(Duration.ofMillis(500));
        decoder.proxy().freeze(false);
        assertThat(sample.join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
    }

    @Test
    void everyRequestIsAnsweredThoughConnectionsAreCutWhileTheyQueuePrefillAndDecode() {
        List<CompletableFuture<Sample>> samples = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            samples.add(site.longCompletion(site.entry(i % 2), 1300 + 40 * i, 60, -1));
        }
        for (int i = 0; i < 10; i++) {
            site.site().endpoints().get(i % 3).proxy().cut();
            Wait.sleep(Duration.ofMillis(100));
        }
        assertThat(samples)
                .allSatisfy(sample -> assertThat(sample.join().outcome())
                        .as("%s", sample.join())
                        .isEqualTo(CallerOutcome.ANSWERED));
        site.awaitAllFree();
    }

    @Test
    void anAnswerIsReportedIncompleteWhenItsEndpointCrashesMidway() {
        CompletableFuture<Sample> sample = site.longCompletion(site.entry(0), 1200, 2000, -1);
        site.awaitHeld(1);
        EndpointVm decoder = site.busyDecodeEndpoint();
        Wait.sleep(Duration.ofMillis(300));
        decoder.crash();
        assertThat(sample.join().outcome()).isEqualTo(CallerOutcome.INCOMPLETE);
    }

    @Test
    void aRequestIsAnsweredElsewhereWhenTheEndpointDiesBeforeTheFirstOutput() {
        CompletableFuture<Sample> sample = site.longCompletion(site.entry(0), 30_000, 50, -1);
        Wait.until(
                TestSite.LIMIT,
                "a booking",
                () -> site.decodeEndpoints().stream()
                        .anyMatch(vm -> vm.daemon().load().free() < 20));
        site.decodeEndpoints().stream()
                .filter(vm -> vm.daemon().load().free() < 20)
                .findFirst()
                .orElseThrow()
                .crash();
        assertThat(sample.join().outcome()).isEqualTo(CallerOutcome.ANSWERED);
    }

    @Test
    void aPrefillWhoseEngineRefusesIsPlacedAgainOrRefusedButNeverLeftHanging() {
        site.prefillEndpoint().backend().engine().refuse(true);
        Sample sample = site.longCompletion(site.entry(0), 1200, 5, -1).join();
        assertThat(sample.outcome()).isIn(CallerOutcome.NOT_RUN, CallerOutcome.INCOMPLETE);
        site.awaitAllFree();
    }
}
