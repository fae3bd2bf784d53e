package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests what becomes of connections that calls at the same time have opened to an endpoint, when fewer are needed. */
class KeptConnectionsTest {
    private static final int CALLS_AT_ONCE = 30;
    /** Time that the endpoint takes for a call, in milliseconds: long enough for calls to overlap. */
    private static final long CALL_MILLIS = 200;

    /** Pause between calls, in milliseconds: shorter than the time for which an idle connection may be used again. */
    private static final long PAUSE_MILLIS = 100;

    private static final long EVENTUALLY_MILLIS = 10_000;

    private final TestEntry entry = new TestEntry();
    private final ScriptedEndpoint endpoint = new ScriptedEndpoint("one", this::reply);

    private void reply(RawRequest request, ScriptedEndpoint.Connection connection) throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(CALL_MILLIS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
        connection.answer(request, "own");
    }

    @BeforeEach
    void start() {
        entry.updateRoutes(60_000);
        entry.updateEndpoints(endpoint.member("s", Stage.WHOLE));
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    private void callAllAtOnce() throws InterruptedException {
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLS_AT_ONCE; i++) {
            String id = "r" + i;
            Thread caller = new Thread(() -> entry.ask("/many/x", id), "caller");
            callers.add(caller);
            caller.start();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        assertThat(endpoint.connections()).as("opened for calls at once").isGreaterThan(1);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(EVENTUALLY_MILLIS);
        while (!condition.getAsBoolean() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    // Guards against connections that no call needs any more taking an entry's descriptors for good. One stays, which
    // shows the end of the endpoint's process.
    @Test
    void ofTheConnectionsThatNoCallUsesAnyMoreOneStaysOpen() throws InterruptedException {
        callAllAtOnce();
        await(() -> endpoint.openConnections() == 1);
        assertThat(endpoint.openConnections()).as("open afterwards").isEqualTo(1);
    }

    // Guards against them staying open because a call now and then always finds one that was used lately.
    @Test
    void connectionsThatAreOneTooManyAreClosedThoughAnotherIsInUse() throws InterruptedException {
        callAllAtOnce();
        await(() -> answersOneMore() && endpoint.openConnections() == 1);
        assertThat(endpoint.openConnections())
                .as("open beside calls one by one")
                .isEqualTo(1);
    }

    private boolean answersOneMore() {
        return entry.ask("/many/x", "later-" + System.nanoTime()).endsWith("own");
    }
}
