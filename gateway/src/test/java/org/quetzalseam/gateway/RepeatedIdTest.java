package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;

/** Tests callers that send one id with all their requests. A connection to an endpoint carries an id only once. */
class RepeatedIdTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final int REQUESTS = 40;

    private final TestEntry entry = new TestEntry();
    private final ScriptedEndpoint endpoint =
            new ScriptedEndpoint("one", (request, connection) -> connection.answer(request, "done"));

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    // Guards against each such request opening one more connection, beyond what the endpoint accepts, until the entry
    // has
    // no descriptor left.
    @Test
    void requestsWithOneIdOpenNoMoreConnectionsThanTheEndpointAccepts() {
        entry.updateRoutes(5_000, MAX_CONNECTIONS);
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
        int most = 0;
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(entry.ask("/once/x", "same")).contains("done");
            most = Math.max(most, endpoint.openConnections());
        }
        assertThat(endpoint.connections()).isGreaterThan(MAX_CONNECTIONS);
        // The endpoint may see the end of the one that was closed a little after the new one.
        assertThat(most).isLessThanOrEqualTo(MAX_CONNECTIONS + 1);
    }
}
