package org.quetzalseam.daemon.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.standins.raw.BrokenAnswers;
import org.quetzalseam.standins.raw.BrokenAnswers.Answer;
import org.quetzalseam.standins.raw.RawConnection;
import org.quetzalseam.standins.raw.RawServer;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.Work;

/** Tests services that send answers which HTTP/1.1 does not define. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class BrokenAnswerTest {
    private static final BrokenAnswers ANSWERS =
            new BrokenAnswers("a body of twenty-seven byte", "X-Signature: s", "Content-Type: x/y");
    private static final long TIMEOUT_MILLIS = 20_000;
    /** Time by which a call must have failed whose service sends bytes without end, in milliseconds: far from its timeout. */
    private static final long FAILED_MILLIS = 5_000;

    private static String call(HttpServiceClient client, boolean idempotent) {
        Work work = new Work("owner", "entry", WorkClass.SHORT, 1, 0, 0, 0, 1);
        AttemptId id = new AttemptId(1, 1, 1);
        Call call = new Call(id, work, "POST", "/x", Map.of(), new byte[0], TIMEOUT_MILLIS, idempotent, KeyUse.none());
        return client.call(call)
                .handle((answer, failure) -> failure == null
                        ? "status " + answer.status()
                        : ((ServiceException) HttpClients.cause(failure)).code().toString())
                .join();
    }

    private static void withService(RawServer.Script script, Consumer<HttpServiceClient> use) {
        try (RawServer service = new RawServer(script)) {
            HttpServiceClient client = new HttpServiceClient("http://127.0.0.1:" + service.port());
            client.start();
            use.accept(client);
            client.stop();
        }
    }

    // Guards against a head that HTTP does not define counting as an answer, or as a call that has not run.
    @ParameterizedTest
    @CsvSource({"false, false", "true, false", "true, true"})
    void aBrokenAnswerIsNoAnswer(boolean idempotent, boolean used) {
        List<String> taken = new ArrayList<>();
        for (Answer answer : ANSWERS.broken()) {
            boolean[] sound = {used};
            withService(
                    (request, connection) -> {
                        if (sound[0]) {
                            connection.reply(200, "sound");
                        } else {
                            String id = "Quetzalseam-Call-Id: " + request.header("quetzalseam-call-id") + "\r\n";
                            connection.write(answer.text().replace("X-Signature: s\r\n", "X-Signature: s\r\n" + id));
                            connection.finish();
                        }
                    },
                    client -> {
                        if (used) {
                            assertThat(call(client, true)).isEqualTo("status 200");
                            sound[0] = false;
                        }
                        String told = call(client, idempotent);
                        if (!told.equals("NO_ANSWER")) {
                            taken.add(answer + ": " + told);
                        }
                    });
        }
        assertThat(taken).isEmpty();
    }

    // Guards against sound answers being lost to a check that is stricter than HTTP.
    @Test
    void anAnswerOfAnUnusualFormIsTaken() {
        for (Answer answer : ANSWERS.unusual()) {
            withService(
                    (request, connection) -> answer.send(connection),
                    client -> assertThat(call(client, false)).as(answer.name()).isEqualTo("status 200"));
        }
    }

    // Guards against reading bytes that are no answer until the call's timeout.
    @ParameterizedTest
    @ValueSource(strings = {"\r\n", "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n"})
    void bytesThatAreNoAnswerAreNotReadUntilTheTimeout(String bytes) {
        withService((request, connection) -> writeWithoutEnd(connection, bytes.repeat(100)), client -> {
            long start = System.nanoTime();
            assertThat(call(client, false)).isEqualTo("NO_ANSWER");
            assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(FAILED_MILLIS);
        });
    }

    /** Writes until the client closes the connection. */
    private static void writeWithoutEnd(RawConnection connection, String block) throws IOException {
        while (true) {
            connection.write(block);
        }
    }
}
