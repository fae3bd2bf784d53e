package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.gateway.http.Connector;
import org.quetzalseam.standins.raw.RawRequest;

/** Tests endpoints that send bytes without end, until the entry closes the connection. */
class EndlessReplyTest {
    /** Time in which the entry must close the connection, in milliseconds; much less than the time limit of the requests. */
    private static final long CLOSED_MILLIS = 2_500;

    private static final long TIMEOUT_MILLIS = 8_000;
    /** Most bytes of one reply that may be taken, the operating system's buffers included: an answer may have 8 MiB. */
    private static final long MAX_BYTES = 16L * 1024 * 1024;
    /** Most bytes of a reply that may be taken if nothing of it is an answer. */
    private static final long MAX_SKIPPED_BYTES = 8L * 1024 * 1024;

    private static final int TOGETHER = 12;
    /** Connections that an endpoint accepts; an entry that does not know how many entries there are uses a small part. */
    private static final int MAX_CONNECTIONS = 1_000;

    private static final String FILLING = "x".repeat(16_000);
    private static final String CHUNK = Integer.toHexString(FILLING.length()) + "\r\n" + FILLING + "\r\n";

    private final TestEntry entry = new TestEntry();
    private final AtomicLong written = new AtomicLong();
    private final AtomicLong closed = new AtomicLong();
    private final AtomicLong lastMillis = new AtomicLong();
    private ScriptedEndpoint endpoint = new ScriptedEndpoint("endpoint", (request, connection) -> {});

    /** What is sent without end. */
    private enum Form {
        HEADER_FIELDS("", "y: " + FILLING.substring(0, 1_000) + "\r\n"),
        HEADER_LINE("y: ", FILLING),
        INTERIM_HEADS(null, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"),
        REPLIES_TO_ANOTHER(null, "HTTP/1.1 200 OK\r\nx-id: another\r\nContent-Length: 3\r\n\r\nabc"),
        BODY_IN_CHUNKS("Transfer-Encoding: chunked\r\n\r\n", CHUNK),
        CHUNK_EXTENSION("Transfer-Encoding: chunked\r\n\r\n1;", FILLING),
        TRAILERS("Transfer-Encoding: chunked\r\n\r\n0\r\n", "y: " + FILLING.substring(0, 1_000) + "\r\n"),
        BODY_UNTIL_CLOSED("\r\n", FILLING),
        BODY_OF_HUGE_LENGTH("Content-Length: 9223372036854775807\r\n\r\n", FILLING);

        /** What follows the answer's first header fields; null if there is no answer. */
        private final @Nullable String beginning;

        private final String repeated;

        Form(@Nullable String beginning, String repeated) {
            this.beginning = beginning;
            this.repeated = repeated;
        }
    }

    @BeforeEach
    void start() {
        entry.updateRoutes(TIMEOUT_MILLIS, MAX_CONNECTIONS);
    }

    @AfterEach
    void stop() {
        entry.close();
        endpoint.close();
    }

    private void use(Stage stage, ScriptedEndpoint.Script script) {
        endpoint.close();
        endpoint = new ScriptedEndpoint("endpoint", script);
        entry.updateEndpoints(endpoint.member("s", stage));
    }

    private static void head(RawRequest request, ScriptedEndpoint.Connection connection, int status)
            throws IOException {
        connection.write(
                "HTTP/1.1 " + status + " Status\r\nx-id: " + request.header("x-id") + "\r\nx-signature: s\r\n");
    }

    /** Writes until the entry closes the connection. */
    private void writeEndlessly(ScriptedEndpoint.Connection connection, String text) throws IOException {
        long began = System.nanoTime();
        String block = text.repeat(Math.max(1, FILLING.length() / text.length()));
        try {
            while (true) {
                connection.write(block);
                written.addAndGet(block.length());
            }
        } finally {
            lastMillis.accumulateAndGet(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - began), Math::max);
            closed.incrementAndGet();
        }
    }

    private void answerEndlessly(RawRequest request, ScriptedEndpoint.Connection connection, Form form)
            throws IOException {
        String beginning = form.beginning;
        if (beginning != null) {
            head(request, connection, 200);
            connection.write(beginning);
        }
        writeEndlessly(connection, form.repeated);
    }

    // Guards against bytes that are no answer being read, and kept, until some timer ends the request.
    @ParameterizedTest
    @EnumSource(Form.class)
    void aConnectionOnWhichBytesComeWithoutEndIsClosedAtOnce(Form form) {
        use(Stage.WHOLE, (request, connection) -> answerEndlessly(request, connection, form));
        assertThat(entry.ask("/once/x", "r1")).startsWith("HTTP/1.1 502");
        awaitClosed(1);
        assertThat(closed).as("connections closed").hasValue(1);
        assertThat(lastMillis).as("time until it was closed").hasValueLessThan(CLOSED_MILLIS);
        boolean body = form == Form.BODY_IN_CHUNKS || form == Form.BODY_UNTIL_CLOSED;
        assertThat(written).as("bytes taken").hasValueLessThan(body ? MAX_BYTES : MAX_SKIPPED_BYTES);
    }

    /** Waits until that many connections have been closed, or the time is over. */
    private void awaitClosed(int number) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS);
        while (closed.get() < number && System.nanoTime() < deadline) {
            Thread.onSpinWait();
        }
    }

    // Guards against answers that are bounded one by one, and together take all memory.
    @Test
    void answersWithoutEndAreBoundedAllTogether() {
        use(Stage.WHOLE, (request, connection) -> answerEndlessly(request, connection, Form.BODY_IN_CHUNKS));
        AtomicLong mostKept = new AtomicLong();
        entry.process()
                .timers()
                .every(
                        1,
                        () -> mostKept.accumulateAndGet(
                                entry.process().connector().keptReplyBytes(), Math::max));
        List<CompletableFuture<String>> answers = new ArrayList<>();
        for (int i = 0; i < TOGETHER; i++) {
            String id = "r" + i;
            answers.add(CompletableFuture.supplyAsync(() -> entry.ask("/once/x", id)));
        }
        assertThat(answers.stream().map(CompletableFuture::join)).allMatch(answer -> answer.startsWith("HTTP/1.1 502"));
        awaitClosed(TOGETHER);
        assertThat(closed).as("connections closed").hasValue(TOGETHER);
        assertThat(lastMillis).as("time until the last was closed").hasValueLessThan(CLOSED_MILLIS);
        assertThat(mostKept).as("bytes kept").hasValueLessThanOrEqualTo(Connector.MAX_REPLY_MEMORY);
        CompletableFuture<Long> keptAtLast = new CompletableFuture<>();
        entry.process()
                .timers()
                .soon(() -> keptAtLast.complete(entry.process().connector().keptReplyBytes()));
        assertThat(keptAtLast.join()).as("bytes kept at the end").isZero();
    }

    // Guards against one event that is kept until it ends.
    @Test
    void aStreamWithAnEventWithoutEndIsBrokenOff() {
        use(Stage.DECODE, (request, connection) -> {
            head(request, connection, 200);
            connection.write("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            writeEndlessly(connection, CHUNK);
        });
        assertThat(entry.ask("/stream/x", "r1")).doesNotEndWith("0\r\n\r\n");
        awaitClosed(1);
        assertThat(closed).as("connections closed").hasValue(1);
        assertThat(lastMillis).as("time until it was closed").hasValueLessThan(CLOSED_MILLIS);
        assertThat(written).as("bytes taken").hasValueLessThan(MAX_SKIPPED_BYTES);
    }

    // Guards against the beginning of an answer being delivered as if it were the whole.
    @Test
    void anAnswerInPlaceOfAStreamThatIsTooLongIsNotDeliveredInPart() {
        use(Stage.DECODE, (request, connection) -> {
            head(request, connection, 500);
            connection.write("Content-Length: " + 200 * FILLING.length() + "\r\n\r\n" + FILLING.repeat(200));
        });
        String answer = entry.ask("/stream/x", "r1");
        assertThat(answer).startsWith("HTTP/1.1 502").doesNotContain("xxxx");
    }

    // Guards against the same answer being read on and on.
    @Test
    void anAnswerInPlaceOfAStreamThatNeverEndsIsClosedAtOnce() {
        use(Stage.DECODE, (request, connection) -> {
            head(request, connection, 500);
            connection.write("Transfer-Encoding: chunked\r\n\r\n");
            writeEndlessly(connection, CHUNK);
        });
        assertThat(entry.ask("/stream/x", "r1")).startsWith("HTTP/1.1 502").doesNotContain("xxxx");
        awaitClosed(1);
        assertThat(closed).as("connections closed").hasValue(1);
        assertThat(lastMillis).as("time until it was closed").hasValueLessThan(CLOSED_MILLIS);
        assertThat(written).as("bytes taken").hasValueLessThan(MAX_SKIPPED_BYTES);
    }
}
