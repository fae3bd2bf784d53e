package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;
import static org.quetzalseam.cli.CrowdedDaemons.BYTES_EACH;
import static org.quetzalseam.cli.CrowdedDaemons.DEPOSITS;
import static org.quetzalseam.cli.CrowdedDaemons.FEW;
import static org.quetzalseam.cli.CrowdedDaemons.LARGEST;
import static org.quetzalseam.cli.CrowdedDaemons.MANY;
import static org.quetzalseam.cli.CrowdedDaemons.TOKEN;
import static org.quetzalseam.cli.CrowdedDaemons.bytes;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalseam.standins.client.NonReadingClients;
import org.quetzalseam.standins.client.ReconnectingClients;

/**
 * Tests an entry and an endpoint as processes beside clients with large answers, whose requests are refused, that never finish them or
 * connect again and again, and while something else disturbs the processes.
 */
class MisbehavingClientsTest {
    private static final int SENT_AHEAD_BYTES = 32 * 1024;
    /** Connections that each reconnecting client opens, one after the other. */
    private static final int RECONNECTIONS = 300;

    private static final int LONG_HEAD_BYTES = 128 * 1024;
    private static final int BODY_PART_BYTES = 512 * 1024;
    /** Time for which a process is stopped, in milliseconds. */
    private static final long PAUSE_MILLIS = 2_000;
    /** Time within which a process ends, in milliseconds; long, because it only bounds a failing test. */
    private static final long END_MILLIS = 120_000;

    private static final int SLOW_READ_BYTES = 64 * 1024;
    private static final int SLOW_READ_PAUSE_MILLIS = 50;

    @TempDir
    private Path directory = Path.of("");

    private CrowdedDaemons daemons;

    @BeforeEach
    void startProcesses() throws IOException {
        daemons = new CrowdedDaemons(directory);
    }

    @AfterEach
    void stop() {
        daemons.close();
    }

    private static String post(String path, String moreHeaders, String body) {
        return "POST " + path + " HTTP/1.1\r\nHost: h\r\n" + TOKEN + moreHeaders + "Content-Length: " + body.length()
                + "\r\n\r\n" + body;
    }

    private static String repeated(String text, int bytes) {
        return text.repeat(1 + bytes / text.length());
    }

    // Guards against large answers that nobody reads filling the memory.
    @Test
    void largeUnreadAnswersDoNotFillTheMemory() throws InterruptedException {
        String whole = post(LARGEST, "", "{}");
        daemons.check(daemons.entry().port(), MANY, bytes(whole), whole.length());
    }

    // Guards against requests that are refused filling the memory with refusals, or with what follows.
    @ParameterizedTest
    @ValueSource(
            strings = {"a head that is too long", "a body that is too long", "no request", "no key", "an unknown key"})
    void refusedRequestsDoNotFillTheMemory(String which) throws InterruptedException {
        String line = "POST " + DEPOSITS + " HTTP/1.1\r\nHost: h\r\n";
        String text = switch (which) {
            case "a head that is too long" -> line + repeated("a:b\r\n", LONG_HEAD_BYTES) + "\r\n";
            case "a body that is too long" ->
                line + TOKEN + "Content-Length: 1000000000\r\n\r\n" + "x".repeat(LONG_HEAD_BYTES);
            case "no request" -> "\u0001\u0002 \r\n\r\n";
            case "no key" -> line + "Content-Length: 2\r\n\r\n{}";
            default -> line + "Authorization: Bearer unknown\r\nContent-Length: 2\r\n\r\n{}";
        };
        daemons.check(daemons.entry().port(), FEW, bytes(text), BYTES_EACH);
    }

    // Guards against chunked bodies that arrive in part filling the memory.
    @Test
    void partsOfChunkedBodiesDoNotFillTheMemory() throws InterruptedException {
        String part = "POST " + DEPOSITS + " HTTP/1.1\r\nHost: h\r\n" + TOKEN + "Transfer-Encoding: chunked\r\n\r\n"
                + repeated("a\r\n0123456789\r\n", BODY_PART_BYTES);
        daemons.check(daemons.entry().port(), MANY, bytes(part), part.length());
    }

    // Guards against what connections leave behind that close with answers unread and are opened again.
    @ParameterizedTest
    @CsvSource({"entry, callers", "entry, operators", "endpoint, operators", "endpoint, entries"})
    void connectionsThatAreOpenedAgainAndAgainLeaveNothingBehind(String role, String port) throws InterruptedException {
        DaemonProcess process = daemons.process(role);
        String request = port.equals("callers") ? post(LARGEST, "", "{}") : "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n";
        int number = port.equals("operators") ? process.operatorPort() : process.port();
        try (ReconnectingClients clients = new ReconnectingClients(
                CrowdedDaemons.address(number), FEW, bytes(repeated(request, SENT_AHEAD_BYTES)), RECONNECTIONS)) {
            daemons.assertServing("beside the clients");
            clients.awaitEnd();
            assertThat(clients.connected()).as("connections").isPositive();
        }
        daemons.checkAfterwards();
    }

    // Guards against an answer being cut short for a caller that reads slowly, but reads on, beside others that don't
    // read at all.
    @Test
    void aCallerThatReadsSlowlyReceivesItsWholeAnswer() throws IOException, InterruptedException {
        String unread = post(LARGEST, "", "{}");
        try (NonReadingClients crowd = new NonReadingClients(
                        CrowdedDaemons.address(daemons.entry().port()), FEW, bytes(unread), unread.length());
                Socket reader = new Socket()) {
            crowd.awaitSettled(CrowdedDaemons.SETTLE_MILLIS);
            reader.setReceiveBufferSize(SLOW_READ_BYTES);
            reader.connect(CrowdedDaemons.address(daemons.entry().port()));
            reader.getOutputStream().write(bytes(post(LARGEST, "Connection: close\r\n", "{}")));
            String answer = readSlowly(reader);
            assertThat(answer).startsWith("HTTP/1.1 200 ");
            assertThat(answer.length() - answer.indexOf("\r\n\r\n") - 4)
                    .as("bytes of the body")
                    .isEqualTo(CrowdedDaemons.LARGEST_ANSWER_BYTES);
        }
    }

    private static String readSlowly(Socket socket) throws IOException, InterruptedException {
        StringBuilder answer = new StringBuilder();
        byte[] part = new byte[SLOW_READ_BYTES];
        int count = socket.getInputStream().read(part);
        while (count >= 0) {
            answer.append(new String(part, 0, count, StandardCharsets.ISO_8859_1));
            Thread.sleep(SLOW_READ_PAUSE_MILLIS);
            count = socket.getInputStream().read(part);
        }
        return answer.toString();
    }

    // Guards against a process that was paused, and then reads all at once what such clients have sent meanwhile.
    @ParameterizedTest
    @ValueSource(strings = {"entry", "endpoint"})
    void aProcessThatWasPausedBesideTheClientsServesAgain(String role) throws IOException, InterruptedException {
        DaemonProcess process = daemons.process(role);
        byte[] text = bytes(post(LARGEST, "", "{}"));
        process.signal("STOP");
        try (NonReadingClients crowd =
                new NonReadingClients(CrowdedDaemons.address(daemons.entry().port()), MANY, text, text.length)) {
            Thread.sleep(PAUSE_MILLIS);
            process.signal("CONT");
            crowd.awaitSettled(CrowdedDaemons.SETTLE_MILLIS);
            daemons.assertServing("beside the clients");
        }
        daemons.checkAfterwards();
    }

    // Guards against a stop that waits for ever for answers that nobody reads.
    @Test
    void anEntryThatIsStoppedBesideTheClientsEnds() throws IOException, InterruptedException {
        byte[] text = bytes(post(LARGEST, "", "{}"));
        try (NonReadingClients crowd =
                new NonReadingClients(CrowdedDaemons.address(daemons.entry().port()), FEW, text, BYTES_EACH)) {
            crowd.awaitSettled(CrowdedDaemons.SETTLE_MILLIS);
            daemons.entry().signal("TERM");
            assertThat(daemons.entry().awaitEnd(END_MILLIS))
                    .as("the process ends")
                    .isTrue();
        }
    }
}
