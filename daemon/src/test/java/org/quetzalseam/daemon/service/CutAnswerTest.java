package org.quetzalseam.daemon.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalseam.core.admission.WorkClass;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.standins.raw.RawConnection.End;
import org.quetzalseam.standins.raw.RawServer;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.Work;

/** Tests services that stop in the middle of an answer. */
@Timeout(value = 2, unit = TimeUnit.MINUTES)
class CutAnswerTest {
    private static final String HEAD = "HTTP/1.1 200 Very Good\r\nX-Kept: yes\r\n";
    private static final String BODY = "a body of twenty-seven byte";
    private static final long TIMEOUT_MILLIS = 5_000;
    private static final int LARGE_BYTES = 4_000_000;
    private static final int EARLY_ANSWERS = 5;
    private static final long WRITTEN_MILLIS = 100;

    /** A whole answer, and the byte from which on it may count as whole if its connection is closed in order. */
    private record Answer(String name, String method, String text, int wholeFrom) {
        static Answer framed(String name, String method, String text) {
            return new Answer(name, method, text, text.length());
        }

        @Override
        public String toString() {
            return name;
        }
    }

    private static List<Answer> answers() {
        String unframed = HEAD + "\r\n" + BODY;
        String length = HEAD + "Content-Length: 27\r\n\r\n" + BODY;
        return List.of(
                Answer.framed("with a length", "POST", length),
                Answer.framed(
                        "with a length, after an interim answer",
                        "POST",
                        "HTTP/1.1 103 Hints\r\nA: b\r\n\r\n" + length),
                Answer.framed(
                        "in chunks",
                        "POST",
                        HEAD
                                + "Transfer-Encoding: chunked\r\n\r\n00b\r\na body of t\r\n10\r\nwenty-seven byte\r\n0\r\n\r\n"),
                Answer.framed(
                        "in chunks with a trailer",
                        "POST",
                        HEAD + "Transfer-Encoding: chunked\r\n\r\n1b\r\n" + BODY + "\r\n0\r\nX-Sum: 12\r\n\r\n"),
                new Answer("without a length", "POST", unframed, unframed.length() - BODY.length()),
                Answer.framed("to HEAD", "HEAD", HEAD + "Content-Length: 27\r\n\r\n"),
                Answer.framed("without content", "POST", "HTTP/1.1 204 No Content\r\nX-Kept: yes\r\n\r\n"),
                Answer.framed("not modified", "GET", "HTTP/1.1 304 Not Modified\r\nX-Kept: yes\r\n\r\n"));
    }

    private static Call call(String method, boolean idempotent) {
        return call(method, new byte[0], idempotent);
    }

    private static Call call(String method, byte[] body, boolean idempotent) {
        Work work = new Work("owner", "entry", WorkClass.SHORT, 1, 0, 0, 0, 1);
        return new Call(
                new AttemptId(1, 1, 1), work, method, "/x", Map.of(), body, TIMEOUT_MILLIS, idempotent, KeyUse.none());
    }

    /** Returns what a caller is told of an answer that is cut after some bytes; an earlier answer may have kept its connection. */
    private static String send(HttpServiceClient client, Answer answer, boolean idempotent) {
        return client.call(call(answer.method(), idempotent))
                .handle((got, failure) -> failure == null ? "status " + got.status() : "failed")
                .join();
    }

    // Guards against an answer whose head or body ends with its connection passing for a whole one, with headers
    // missing
    // and an empty or short body.
    @ParameterizedTest
    @MethodSource("answers")
    void anAnswerThatIsCutAtAnyByteIsNotTakenForWhole(Answer answer) {
        List<String> taken = new ArrayList<>();
        for (End end : End.values()) {
            for (boolean reused : new boolean[] {false, true}) {
                cutAtEachByte(answer, end, reused, taken);
            }
        }
        assertThat(taken).isEmpty();
    }

    private static void cutAtEachByte(Answer answer, End end, boolean reused, List<String> taken) {
        AtomicInteger bytes = new AtomicInteger();
        try (RawServer service = new RawServer((request, connection) -> {
            if (request.path().equals("/x") && bytes.get() >= 0) {
                connection.cut(answer.text(), bytes.get(), end);
            } else {
                connection.reply(200, "");
            }
        })) {
            HttpServiceClient client = new HttpServiceClient("http://127.0.0.1:" + service.port());
            client.start();
            int whole = end == End.RESET ? answer.text().length() : answer.wholeFrom();
            for (int cut = 0; cut < whole; cut++) {
                if (reused) {
                    bytes.set(-1);
                    send(client, answer, true);
                }
                bytes.set(cut);
                String told = send(client, answer, reused);
                if (!told.equals("failed")) {
                    taken.add(end + (reused ? " reused" : " new") + " after byte " + cut + ": " + told);
                }
            }
            client.stop();
        }
    }

    @ParameterizedTest
    @MethodSource("answers")
    void aWholeAnswerIsDeliveredThoughItsConnectionIsClosedAfterIt(Answer answer) {
        try (RawServer service = new RawServer((request, connection) ->
                connection.cut(answer.text(), answer.text().length(), End.CLOSED))) {
            HttpServiceClient client = new HttpServiceClient("http://127.0.0.1:" + service.port());
            client.start();
            ServiceAnswer got = client.call(call(answer.method(), false)).join();
            assertThat(got.headers()).containsEntry("x-kept", "yes");
            if (answer.method().equals("POST") && got.status() == 200) {
                assertThat(got.body()).asString().isEqualTo(BODY);
            }
            client.stop();
        }
    }

    // Guards against half of an answer without a length passing for the whole when its connection is reset while the
    // call
    // is still being written, because a failed write closes the connection without a read error.
    @Test
    void anAnswerWithoutALengthThatIsResetWhileItsCallIsBeingWrittenIsNotTakenForWhole() throws Exception {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            HttpServiceClient client = new HttpServiceClient("http://127.0.0.1:" + listener.getLocalPort());
            client.start();
            for (int i = 0; i < EARLY_ANSWERS; i++) {
                CompletableFuture<ServiceAnswer> answer = client.call(call("POST", new byte[LARGE_BYTES], false));
                try (Socket socket = listener.accept()) {
                    socket.getInputStream().readNBytes(1);
                    socket.getOutputStream().write((HEAD + "\r\nhalf").getBytes(StandardCharsets.US_ASCII));
                    TimeUnit.MILLISECONDS.sleep(WRITTEN_MILLIS);
                    socket.setSoLinger(true, 0);
                }
                assertThat(answer.handle((got, failure) -> failure == null ? "status " + got.status() : "failed")
                                .join())
                        .isEqualTo("failed");
            }
            client.stop();
        }
    }
}
