package org.quetzalseam.standins.raw;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class RawServerTest {
    private static final int ROUNDS = 20_000;
    private static final int READ_TIMEOUT_MILLIS = 500;

    /**
     * Guards against a connection that is accepted but never served. A closed listener may return one more connection, because its accepting
     * thread leaves the system call only once it is scheduled. That connection had no thread to serve it and stayed open without a response,
     * so that a caller of a stopped service waited for its own timeout and was informed that its call may have run.
     */
    @Test
    void aConnectionMadeWhileAServerIsClosedIsNotLeftOpenUnanswered() throws IOException {
        int unanswered = 0;
        for (int i = 0; i < ROUNDS && unanswered == 0; i++) {
            RawServer server = new RawServer((request, connection) -> connection.reply(200, ""));
            server.close();
            unanswered += connectsWithoutResponse(server.port()) ? 1 : 0;
        }
        assertThat(unanswered).isZero();
    }

    private static boolean connectsWithoutResponse(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
            return false;
        } catch (SocketTimeoutException expected) {
            return true;
        } catch (IOException refusedOrReset) {
            return false;
        }
    }
}
