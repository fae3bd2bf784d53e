package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/**
 * Tests what counts against the retry budget that all entries share.
 *
 * <p>Guards against a budget that is exceeded because a further attempt of a generation is counted as one retry,
 * although it arrives at two engines: its prompt is prefilled again before it goes to a decode engine. With crashed
 * engines that were still listed and rejected each request one after the other, 104 repeated arrivals came in a window
 * that allowed 83.
 */
@Timeout(60)
class RetryBudgetTest {
    private static final String PROMPT_TOKENS_HEADER = "x-tokens: 1000";
    private static final int REQUEST_COUNT = 6;
    /** Retries of all entries in a window, of which four fifths are used. */
    private static final double SLACK_RETRIES = 5;

    private final TestEntry entry = new TestEntry(0, SLACK_RETRIES);
    private final ScriptedEndpoint prefill =
            new ScriptedEndpoint("prefill", (request, connection) -> connection.answer(request, "kv1"));
    private final ScriptedEndpoint decode = new ScriptedEndpoint("decode", RetryBudgetTest::bookAndReject);

    private static void bookAndReject(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        if (request.path().startsWith("/control/")) {
            connection.answer(request, "booking");
        } else {
            connection.reject(request);
        }
    }

    @AfterEach
    void stop() {
        entry.close();
        prefill.close();
        decode.close();
    }

    @Test
    void eachRepeatedArrivalAtAnEngineSpendsARetryIncludingThePrefill() {
        startWithFullSlack();
        sendRejectedRequests();
        int repeated = prefill.runs().size() + decode.runs().size() - 2 * REQUEST_COUNT;
        assertThat(repeated).isPositive().isLessThanOrEqualTo(4);
    }

    // Guards against a reload of the settings that discards the count of retries in the window, so that as many are
    // made again.
    @Test
    void reloadingTheSettingsDoesNotRestoreSpentRetries() {
        startWithFullSlack();
        sendRejectedRequests();
        entry.reloadSettings();
        sendRejectedRequests();
        int repeated = prefill.runs().size() + decode.runs().size() - 2 * 2 * REQUEST_COUNT;
        assertThat(repeated).isPositive().isLessThanOrEqualTo(4);
    }

    private void startWithFullSlack() {
        entry.updateRoutes(5_000);
        entry.updateEntryCount(1);
        entry.awaitFullSlack();
        entry.updateEndpoints(prefill.member("s", Stage.PREFILL), decode.member("s", Stage.DECODE));
    }

    private void sendRejectedRequests() {
        for (int i = 0; i < REQUEST_COUNT; i++) {
            assertThat(entry.ask("/stream/x", "r" + i, PROMPT_TOKENS_HEADER)).startsWith("HTTP/1.1 503");
        }
    }
}
