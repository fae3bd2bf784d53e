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
    private static final int SILENCE_MILLIS = 500;

    /**
     * A closed listener may hand out one more connection, as its accepting thread leaves the system call only once it has run. That
     * connection found no thread to serve it and was left open without a word, so a caller of a service that didn't listen any more
     * waited until its own limit and was told that its call may have run.
     */
    @Test
    void aConnectionMadeWhileAServerIsClosedIsNotLeftOpenAndSilent() throws IOException {
        int silent = 0;
        for (int i = 0; i < ROUNDS && silent == 0; i++) {
            RawServer server = new RawServer((request, connection) -> connection.reply(200, ""));
            server.close();
            silent += connectsAndHearsNothing(server.port()) ? 1 : 0;
        }
        assertThat(silent).isZero();
    }

    private static boolean connectsAndHearsNothing(int port) throws IOException {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setSoTimeout(SILENCE_MILLIS);
            socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            socket.getInputStream().read();
            return false;
        } catch (SocketTimeoutException silent) {
            return true;
        } catch (IOException refusedOrReset) {
            return false;
        }
    }
}
