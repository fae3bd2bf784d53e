package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;

/** Tests callers that send one id with all their requests. A connection to an endpoint carries an id only once. */
class RepeatedIdTest {
    private static final int MAX_CONNECTIONS = 4;
    private static final int REQUESTS = 40;
    private static final int CHECKS = 100;
    private static final long CHECK_MILLIS = 10;

    private final TestEntry entry = new TestEntry();
    private final ScriptedEndpoint endpoint =
            new ScriptedEndpoint("one", (request, connection) -> connection.answer(request, "done"));

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    /** Returns the number of open connections, once it is within the maximum or a second has passed. */
    private int openConnections() throws InterruptedException {
        // The endpoint may see the end of a connection later than the request on the next one, but long before idle
        // connections are given up.
        for (int i = 0; i < CHECKS && endpoint.openConnections() > MAX_CONNECTIONS; i++) {
            TimeUnit.MILLISECONDS.sleep(CHECK_MILLIS);
        }
        return endpoint.openConnections();
    }

    // Guards against each such request opening one more connection, beyond what the endpoint accepts, until the entry
    // has no descriptor left.
    @Test
    void requestsWithOneIdOpenNoMoreConnectionsThanTheEndpointAccepts() throws InterruptedException {
        entry.updateRoutes(5_000, MAX_CONNECTIONS);
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
        for (int i = 0; i < REQUESTS; i++) {
            assertThat(entry.ask("/once/x", "same")).contains("done");
            assertThat(openConnections()).isLessThanOrEqualTo(MAX_CONNECTIONS);
        }
        assertThat(endpoint.connections()).isGreaterThan(MAX_CONNECTIONS);
    }
}
