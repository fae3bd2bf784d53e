package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;

/** Tests endpoints that send bytes which belong to no call in progress. */
class StrayBytesTest {
    private final TestEntry entry = new TestEntry();
    private final Set<ScriptedEndpoint.Connection> used = ConcurrentHashMap.newKeySet();
    private final ScriptedEndpoint endpoint =
            new ScriptedEndpoint("one", (request, connection) -> connection.answer(request, "own"));

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    // Guards against calls being lost one after the other to the beginnings of copies on kept connections.
    @Test
    void anEndpointThatBeginsToSendRepliesAgainCostsOneCall() {
        endpoint.script((request, connection) -> {
            if (!used.add(connection)) {
                connection.write("HTTP/1.1 200 OK\r\nx-id: ");
            }
            connection.answer(request, "own");
        });
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
        long lost = 0;
        for (int i = 0; i < 20; i++) {
            String answer = entry.ask("/once/x", "r" + i);
            lost += answer.endsWith("own") ? 0 : 1;
        }
        assertThat(lost).isEqualTo(1);
        assertThat(used).hasSizeGreaterThan(15);
    }
}
