package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/**
 * What counts against the retry budget that all entries share.
 *
 * <p>Seen: engines had crashed and stayed listed; each request was turned away by one after the other, and 104 arrivals beyond the
 * first of a request came in a window that allowed 83. The cause: a further turn of a generation took one retry, but arrives
 * twice, as its prompt is read once more before it goes to a decode engine. Proof: the arrivals of one request, two for each turn.
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
        int further = prefill.runs().size() + decode.runs().size() - 2 * REQUEST_COUNT;
        assertThat(further).isPositive().isLessThanOrEqualTo(4);
    }

    // Guards against a reload of the settings that forgets the retries of the window, so that as many are made again.
    @Test
    void reloadingTheSettingsDoesNotRestoreSpentRetries() {
        startWithFullSlack();
        sendRejectedRequests();
        entry.reloadSettings();
        sendRejectedRequests();
        int further = prefill.runs().size() + decode.runs().size() - 2 * 2 * REQUEST_COUNT;
        assertThat(further).isPositive().isLessThanOrEqualTo(4);
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
