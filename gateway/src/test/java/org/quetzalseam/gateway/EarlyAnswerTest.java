package org.quetzalseam.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;

/** Tests endpoints that answer without a length, before they have read the whole request, and whose connection is then reset. */
class EarlyAnswerTest {
    private static final int BODY_BYTES = 4_000_000;
    private static final int ROUNDS = 5;
    private static final long WRITTEN_MILLIS = 100;
    private static final String HALF = "id: 1\ndata: half\n\n";

    private final TestEntry entry = new TestEntry();
    private final ServerSocket listener = listen();

    private static ServerSocket listen() {
        try {
            return new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Answers each connection with the beginning of an answer, reads no more of the request, and resets. */
    private void serve(String type) {
        Thread thread = new Thread(() -> {
            while (!listener.isClosed()) {
                try (Socket socket = listener.accept()) {
                    String head = readHead(socket.getInputStream());
                    String id = head.replaceFirst("(?is).*\r\nx-id: ([^\r]*)\r\n.*", "$1");
                    String answer = "HTTP/1.1 200 OK\r\nx-id: " + id + "\r\nx-signature: s\r\nContent-Type: " + type
                            + "\r\n\r\n" + HALF;
                    socket.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
                    TimeUnit.MILLISECONDS.sleep(WRITTEN_MILLIS);
                    socket.setSoLinger(true, 0);
                } catch (IOException expected) {
                    // The listener was closed, which ends the loop, or the entry has closed the connection.
                } catch (InterruptedException e) {
                    return;
                }
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("expected a whole head, found the end after " + head.length() + " bytes");
            }
            head.append((char) next);
        }
        return head.toString();
    }

    @AfterEach
    void stop() throws IOException {
        entry.close();
        listener.close();
    }

    // Guards against an answer whose connection was reset while its request was still being written passing as whole.
    @ParameterizedTest
    @CsvSource({"/once/x,WHOLE,text/plain", "/stream/x,DECODE,text/event-stream"})
    void anAnswerThatIsResetWhileItsRequestIsBeingWrittenDoesNotLookComplete(String path, Stage stage, String type) {
        serve(type);
        entry.updateRoutes(5_000);
        entry.updateEndpoints(
                new Member("e", 0, "s", "127.0.0.1", listener.getLocalPort(), "a", 4, false, stage, "v1"));
        for (int i = 0; i < ROUNDS; i++) {
            try (TestEntry.Caller caller = entry.caller()) {
                caller.write("POST " + path + " HTTP/1.1\r\nHost: h\r\nx-id: r" + i
                        + "\r\nConnection: close\r\nContent-Length: " + BODY_BYTES + "\r\n\r\n"
                        + "x".repeat(BODY_BYTES));
                String answer = caller.readAll();
                if (answer.startsWith("HTTP/1.1 200")) {
                    assertThat(answer).doesNotContain("ontent-length").doesNotEndWith("0\r\n\r\n");
                } else {
                    assertThat(answer).startsWith("HTTP/1.1 502");
                }
            }
        }
    }

    @Test
    void anAnswerThatEndsInOrderAfterItsRequestWasReadIsDelivered() {
        Thread thread = new Thread(() -> {
            try (Socket socket = listener.accept()) {
                readHead(socket.getInputStream());
                socket.getInputStream().readNBytes(2);
                socket.getOutputStream()
                        .write("HTTP/1.1 200 OK\r\nx-id: r\r\nx-signature: s\r\n\r\nwhole"
                                .getBytes(StandardCharsets.UTF_8));
            } catch (IOException expected) {
                // The test fails for want of an answer.
            }
        });
        thread.setDaemon(true);
        thread.start();
        entry.updateRoutes(5_000);
        entry.updateEndpoints(
                new Member("e", 0, "s", "127.0.0.1", listener.getLocalPort(), "a", 4, false, Stage.WHOLE, "v1"));
        assertThat(entry.ask("/once/x", "r")).startsWith("HTTP/1.1 200").endsWith("whole");
    }
}
