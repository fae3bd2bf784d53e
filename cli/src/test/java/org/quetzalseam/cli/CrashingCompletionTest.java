package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.site.EndpointVm;
import org.quetzalseam.cli.site.Wait;

/** Tests {@code quetzalseamd} with a completion that crashes each engine that prefills or decodes it. */
class CrashingCompletionTest {
    private static final String CRASHING_PROMPT = "crash-the-engine";
    private static final int SUSPECT_CRASHES = 3;
    private static final int MAX_REPETITIONS = 3;
    private static final long NOTICE_MILLIS = 3_000;
    private static final long OBSERVED_MILLIS = 6_000;
    private static final long RESTART_MILLIS = 300;
    private static final long INTERVAL_MILLIS = 100;

    private final TestSite site = TestSite.start();
    private final List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();

    @AfterEach
    void stop() {
        site.close();
    }

    private void askFor(long millis) {
        long until = System.currentTimeMillis() + millis;
        while (System.currentTimeMillis() < until) {
            answers.add(site.completion(site.entry(answers.size() % 2), CRASHING_PROMPT));
            pause(INTERVAL_MILLIS);
        }
    }

    private static void pause(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void crashOnPrompt(List<EndpointVm> engines) {
        engines.forEach(vm -> vm.backend().engine().crashOn(CRASHING_PROMPT, RESTART_MILLIS));
    }

    private static void repair(List<EndpointVm> engines) {
        engines.forEach(vm -> vm.backend().engine().crashOn("", 0));
    }

    private static int crashes(List<EndpointVm> engines) {
        return engines.stream().mapToInt(vm -> vm.backend().engine().crashes()).sum();
    }

    private void awaitThreeCrashes(List<EndpointVm> engines) {
        Wait.until(TestSite.LIMIT, "three crashes", () -> {
            askFor(INTERVAL_MILLIS);
            return crashes(engines) >= SUSPECT_CRASHES;
        });
        askFor(NOTICE_MILLIS);
    }

    private void assertFewCrashesFollow(List<EndpointVm> engines) {
        crashOnPrompt(engines);
        awaitThreeCrashes(engines);
        int before = crashes(engines);
        askFor(OBSERVED_MILLIS);
        answers.forEach(CompletableFuture::join);
        assertThat(crashes(engines) - before)
                .as("crashes later than 3 s after the third")
                .isLessThanOrEqualTo(MAX_REPETITIONS);
    }

    // Guards against a completion being sent to one decode engine after the other, each of which crashes.
    @Test
    void aCompletionThatHasCrashedThreeDecodesIsSentToThreeMoreAtMost() {
        assertFewCrashesFollow(site.decodeEndpoints());
        Wait.until(
                TestSite.LIMIT,
                "an answer to another completion",
                () -> site.completion(site.entry(0), "other").join().statusCode() == 200);
    }

    // Guards against a prompt being sent to one prefill engine after the other, each of which crashes.
    @Test
    void aCompletionThatHasCrashedThreePrefillsIsSentToThreeMoreAtMost() {
        assertFewCrashesFollow(List.of(site.prefillEndpoint()));
    }

    // Guards against a completion being refused on and on after what made it crash its engines is gone.
    @Test
    void aCompletionThatCrashesNothingAnyMoreIsServedAgainAfterAProbe() {
        crashOnPrompt(site.decodeEndpoints());
        awaitThreeCrashes(site.decodeEndpoints());
        HttpResponse<String> refused =
                site.completion(site.entry(0), CRASHING_PROMPT).join();
        assertThat(refused.statusCode()).isEqualTo(503);
        assertThat(refused.body()).contains("quarantined").contains("not-run");
        assertThat(refused.headers().firstValue("Retry-After")).isPresent();
        repair(site.decodeEndpoints());
        for (int entry = 0; entry < 2; entry++) {
            int asked = entry;
            Wait.until(TestSite.LIMIT, "an answer at entry " + asked, () -> {
                pause(INTERVAL_MILLIS);
                return site.completion(site.entry(asked), CRASHING_PROMPT)
                                .join()
                                .statusCode()
                        == 200;
            });
        }
    }
}
