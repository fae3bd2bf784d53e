package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.site.Wait;
import org.quetzalseam.standins.LinkProxy;

class KeyInquiryTest {
    private static final int DEPOSITS = 20;
    /** Delay of each piece on a path, in milliseconds: an answer over it takes half of the lease. */
    private static final long PATH_DELAY_MILLIS = 350;

    private final TestSite site = TestSite.start();

    @AfterEach
    void stop() {
        site.close();
    }

    /**
     * Keyed calls were told {@code key-holder-unreachable} beside load though nothing had stopped: their inquiry gave an endpoint half a
     * second to answer, and it answered just later. In the log, {@code key-inquiry-in-doubt … reason=no-answer-in-time
     * unanswered=repository-app-1 … age_ms=656}; a copy that went on waiting had the answer within the next millisecond. An endpoint whose
     * lease runs counts as there everywhere else; half a second bounded the wrong thing.
     */
    @Test
    void aKeyedCallIsAnsweredThoughAnotherEndpointIsSlowToSayWhetherItHasSeenTheKey() {
        site.services().get(0).proxy().delay(PATH_DELAY_MILLIS);
        List<CompletableFuture<HttpResponse<String>>> deposits = new ArrayList<>();
        for (int i = 0; i < DEPOSITS; i++) {
            deposits.add(site.deposit(site.entry(i % 2), "slow-" + i, "slow-" + i));
        }
        for (int i = 0; i < DEPOSITS; i++) {
            HttpResponse<String> response = deposits.get(i).join();
            assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
            assertThat(site.executions("slow-" + i)).isEqualTo(1);
        }
    }

    /**
     * A connection that is cut while an inquiry's question is on it loses the question or its answer. The endpoint is there and can be
     * asked again at once: to bar a key twice is the same as once.
     */
    @Test
    void aKeyedCallIsAnsweredThoughAConnectionIsCutDuringItsInquiry() {
        LinkProxy path = site.services().get(0).proxy();
        path.delay(PATH_DELAY_MILLIS);
        List<CompletableFuture<HttpResponse<String>>> deposits = new ArrayList<>();
        for (int i = 0; i < DEPOSITS; i++) {
            deposits.add(site.deposit(site.entry(i % 2), "cut-" + i, "cut-" + i));
        }
        Wait.pass(Duration.ofMillis(PATH_DELAY_MILLIS / 2));
        path.cut();
        path.delay(0);
        for (int i = 0; i < DEPOSITS; i++) {
            HttpResponse<String> response = deposits.get(i).join();
            assertThat(response.statusCode()).as(response.body()).isEqualTo(200);
            assertThat(site.executions("cut-" + i)).isEqualTo(1);
        }
    }
}
