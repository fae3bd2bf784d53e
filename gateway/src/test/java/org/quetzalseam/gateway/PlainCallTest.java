package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.http.GatewayException;

class PlainCallTest {
    private final TestEntry entry = new TestEntry();
    private final ScriptedEndpoint one =
            new ScriptedEndpoint("one", (request, connection) -> connection.answer(request, "first"));
    private final ScriptedEndpoint two =
            new ScriptedEndpoint("two", (request, connection) -> connection.answer(request, "second"));

    private final ExecutorService threads = Executors.newCachedThreadPool();

    @BeforeEach
    void start() {
        entry.updateRoutes(5_000);
        entry.updateEndpoints(one.member("s", Stage.WHOLE));
    }

    @AfterEach
    void stop() {
        entry.close();
        one.close();
        two.close();
        threads.shutdownNow();
    }

    private void useBoth() {
        entry.updateEndpoints(one.member("s", Stage.WHOLE), two.member("s", Stage.WHOLE));
    }

    @Test
    void anAnswerIsForwardedWithItsSignature() {
        assertThat(entry.ask("/once/x", "r1"))
                .startsWith("HTTP/1.1 200 OK")
                .contains("x-signature: s")
                .endsWith("first");
        assertThat(one.requests().get(0).header("x-endpoint")).isEqualTo("one");
        assertThat(one.requests().get(0).body()).isEqualTo("hi");
    }

    @Test
    void aRequestWithoutAnIdGetsWhateverTheEndpointAnswers() {
        one.script((request, connection) ->
                connection.write("HTTP/1.1 200 OK\r\nx-signature: s\r\nContent-Length: 5\r\n\r\nplain"));
        try (TestEntry.Caller caller = entry.caller()) {
            caller.write("GET /once/x HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(caller.readUntil("plain")).startsWith("HTTP/1.1 200 OK");
        }
    }

    @Test
    void aReplyToAnotherRequestIsSkipped() {
        one.script((request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nx-id: other\r\nx-signature: s\r\nContent-Length: 5\r\n\r\nwrong");
            connection.answer(request, "right");
        });
        assertThat(entry.ask("/once/x", "r1")).endsWith("right");
    }

    @Test
    void aSecondReplyIsNeverTakenForTheNextRequestsAnswer() {
        one.script((request, connection) -> {
            connection.answer(request, "mine " + request.header("x-id"));
            connection.answer(request, "again " + request.header("x-id"));
        });
        for (int i = 0; i < 20; i++) {
            assertThat(entry.ask("/once/x", "r" + i)).endsWith("mine r" + i);
        }
    }

    @Test
    void aNonIdempotentRequestWhoseReplyIsLostIsSentOnceAndNotReportedAsNotRun() {
        useBoth();
        one.script((request, connection) -> connection.reset());
        two.script((request, connection) -> connection.reset());
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502");
        assertThat(one.runs().size() + two.runs().size()).isEqualTo(1);
    }

    @Test
    void anIdempotentRequestWhoseReplyIsLostRunsElsewhere() {
        useBoth();
        one.script((request, connection) -> connection.reset());
        assertThat(entry.ask("/many/x", "r1")).startsWith("HTTP/1.1 200 OK").endsWith("second");
    }

    @Test
    void aRejectedRequestGoesToAnotherEndpointEvenIfItMayRunOnlyOnce() {
        useBoth();
        one.script((request, connection) -> connection.reject(request));
        for (int i = 0; i < 5; i++) {
            assertThat(entry.ask("/once/x", "r" + i)).endsWith("second");
        }
    }

    @Test
    void whenAllEndpointsRejectARequestTheCallerIsToldWhenToRetry() {
        one.script((request, connection) -> connection.reject(request));
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 503").contains("x-come-back: ");
    }

    @Test
    void anUnsignedAnswerIsNotASuccess() {
        one.script((request, connection) -> connection.write(
                "HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id") + "\r\nContent-Length: 2\r\n\r\nhm"));
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void anAnswerWithoutLengthThatIsResetIsNotForwardedAsComplete() {
        one.script((request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id") + "\r\nx-signature: s\r\n\r\nhalf");
            connection.reset();
        });
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void anAnswerWithoutLengthThatEndsInOrderIsComplete() {
        one.script((request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id") + "\r\nx-signature: s\r\n\r\nwhole");
            connection.finish();
        });
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 200").endsWith("whole");
    }

    @Test
    void aTruncatedAnswerIsNotForwardedAsComplete() {
        one.script((request, connection) -> {
            connection.write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id")
                    + "\r\nx-signature: s\r\nContent-Length: 100\r\n\r\nhalf");
            connection.finish();
        });
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void bytesThatAreNoReplyAreNotForwarded() {
        one.script((request, connection) -> connection.write("\u0001\u0002 no reply at all\r\n\r\n"));
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502");
    }

    @Test
    void workEndsAtTheEndpointWhenTheCallerDisconnects() throws Exception {
        CompletableFuture<Boolean> closed = new CompletableFuture<>();
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        one.script((request, connection) -> {
            arrived.complete(null);
            closed.complete(connection.awaitClosed());
        });
        try (TestEntry.Caller caller = entry.caller()) {
            caller.send("/once/x", "r1");
            arrived.get(10, TimeUnit.SECONDS);
        }
        assertThat(closed.get(10, TimeUnit.SECONDS)).isTrue();
    }

    @Test
    void aRequestIsAnsweredWhenItsRouteTimesOut() {
        one.script((request, connection) -> connection.awaitClosed());
        TestEntry slow = new TestEntry();
        slow.updateRoutes(300);
        slow.updateEndpoints(one.member("s", Stage.WHOLE));
        assertThat(slow.ask("/once/x", "r1")).startsWith("HTTP/1.1 504");
        slow.close();
    }

    @Test
    void anEndpointThatNeverAnswersIsDetectedByTheRequestsThatTimeOut() {
        one.script((request, connection) -> connection.awaitClosed());
        try (TestEntry shortTimeout = new TestEntry()) {
            shortTimeout.updateRoutes(100);
            shortTimeout.updateEndpoints(one.member("s", Stage.WHOLE), two.member("s", Stage.WHOLE));
            for (int i = 0; i < 60 && one.runs().size() < 3; i++) {
                shortTimeout.ask("/once/x", "r" + i);
            }
            for (int i = 0; i < 10; i++) {
                assertThat(shortTimeout.ask("/once/x", "s" + i)).endsWith("second");
            }
        }
    }

    @Test
    void connectionsToAnEndpointAreReused() {
        for (int i = 0; i < 10; i++) {
            entry.ask("/once/x", "r" + i);
        }
        assertThat(one.connections()).isEqualTo(1);
    }

    @Test
    void aDrainingEndpointGetsNoNewRequests() {
        useBoth();
        var draining = one.member("s", Stage.WHOLE);
        entry.updateEndpoints(
                new org.quetzalseam.core.fleet.Member(
                        draining.id(),
                        draining.startMillis(),
                        "s",
                        draining.host(),
                        draining.port(),
                        "a",
                        4,
                        true,
                        Stage.WHOLE,
                        draining.build()),
                two.member("s", Stage.WHOLE));
        for (int i = 0; i < 6; i++) {
            assertThat(entry.ask("/once/x", "r" + i)).endsWith("second");
        }
    }

    @Test
    void aPathWithoutRouteIsNotFound() {
        assertThat(entry.ask("/nowhere/", "r1")).startsWith("HTTP/1.1 404");
    }

    @Test
    void aRequestThatArrivesBeforeTheRoutesWaitsForThem() throws Exception {
        try (TestEntry newEntry = new TestEntry();
                TestEntry.Caller caller = newEntry.caller()) {
            caller.send("/once/x", "r1");
            newEntry.updateEndpoints(one.member("s", Stage.WHOLE));
            newEntry.updateRoutes(5_000);
            assertThat(caller.readUntil("first")).startsWith("HTTP/1.1 200 OK");
        }
    }

    @Test
    void pipelinedRequestsAreAnsweredInOrder() {
        one.script((request, connection) -> connection.answer(request, "for " + request.header("x-id")));
        try (TestEntry.Caller caller = entry.caller()) {
            caller.send("/once/x", "r1");
            caller.send("/once/x", "r2");
            caller.send("/once/x", "r3");
            assertThat(caller.readUntil("for r1")).endsWith("for r1");
            assertThat(caller.readUntil("for r2")).endsWith("for r2");
            assertThat(caller.readUntil("for r3")).endsWith("for r3");
        }
    }

    @Test
    void aDrainingEntryFinishesAcceptedRequestsAndClosesTheConnection() throws Exception {
        CompletableFuture<Void> arrived = new CompletableFuture<>();
        CompletableFuture<Void> mayAnswer = new CompletableFuture<>();
        one.script((request, connection) -> {
            arrived.complete(null);
            mayAnswer.join();
            connection.answer(request, "late but whole");
        });
        try (TestEntry.Caller caller = entry.caller()) {
            caller.send("/once/x", "r1");
            arrived.get(10, TimeUnit.SECONDS);
            CompletableFuture<Void> drain =
                    CompletableFuture.runAsync(() -> entry.process().drain(8_000));
            TimeUnit.MILLISECONDS.sleep(100);
            mayAnswer.complete(null);
            assertThat(caller.readAll()).contains("connection: close").endsWith("late but whole");
            drain.get(10, TimeUnit.SECONDS);
        }
    }

    @Test
    @Timeout(60)
    void anEndpointIsGivenNoMoreConnectionsThanThisEntrysShare() throws Exception {
        CompletableFuture<Void> mayAnswer = new CompletableFuture<>();
        one.script((request, connection) -> {
            mayAnswer.join();
            connection.answer(request, "first");
        });
        try (TestEntry sharing = new TestEntry()) {
            sharing.updateRoutes(5_000, 10);
            sharing.updateEntryCount(2);
            sharing.updateEndpoints(one.member("s", Stage.WHOLE));
            List<CompletableFuture<String>> answers = new ArrayList<>();
            for (int i = 0; i < 9; i++) {
                String id = "r" + i;
                answers.add(CompletableFuture.supplyAsync(() -> sharing.ask("/once/x", id), threads));
            }
            while (answers.stream().filter(CompletableFuture::isDone).count() < 5) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            mayAnswer.complete(null);
            List<String> received =
                    answers.stream().map(CompletableFuture::join).toList();
            assertThat(received)
                    .filteredOn(answer -> answer.startsWith("HTTP/1.1 200"))
                    .hasSize(4);
            assertThat(received)
                    .filteredOn(answer -> answer.startsWith("HTTP/1.1 503"))
                    .hasSize(5);
            assertThat(one.connections()).isEqualTo(4);
        }
    }

    @Test
    void anEndpointThatDropsIdleConnectionsLosesNoFurtherRequests() throws Exception {
        Map<ScriptedEndpoint.Connection, Long> lastUsed = new ConcurrentHashMap<>();
        one.script((request, connection) -> {
            long now = System.nanoTime();
            Long before = lastUsed.put(connection, now);
            if (before != null && now - before > TimeUnit.MILLISECONDS.toNanos(200)) {
                connection.reset();
                return;
            }
            connection.answer(request, "first");
        });
        assertThat(entry.ask("/once/x", "r0")).startsWith("HTTP/1.1 200");
        TimeUnit.MILLISECONDS.sleep(400);
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502");
        for (int i = 2; i < 5; i++) {
            assertThat(entry.ask("/once/x", "r" + i)).startsWith("HTTP/1.1 200");
            TimeUnit.MILLISECONDS.sleep(400);
        }
    }

    @Test
    void anAddressInUseIsNamedInTheError() {
        try (TestEntry second = new TestEntry()) {
            assertThatThrownBy(() -> second.process().start(entry.address(), entry.address(), entry.address()))
                    .isInstanceOf(GatewayException.class)
                    .hasMessageContaining(Integer.toString(entry.address().getPort()));
        }
    }
}
