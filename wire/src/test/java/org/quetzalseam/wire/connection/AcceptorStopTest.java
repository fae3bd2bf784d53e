package org.quetzalseam.wire.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;

class AcceptorStopTest {
    /** More than the number of concurrent handshakes, so that some connections are queued. */
    private static final int PEERS = 40;

    private static final Duration CLOSE_LIMIT = Duration.ofSeconds(1);
    private static final Duration ACCEPT_TIME = Duration.ofMillis(200);

    private final Acceptor acceptor = new Acceptor(
            "127.0.0.1",
            0,
            Identity.start(Role.ENDPOINT, "endpoint", "zone"),
            SiteKey.loopback(),
            Transport.plain(),
            new IgnoringListener(),
            connection -> {});
    private final List<Socket> peers = new ArrayList<>();

    @BeforeEach
    void start() {
        acceptor.start();
    }

    @AfterEach
    void stop() {
        acceptor.stop();
        peers.forEach(Sockets::close);
    }

    private static final class IgnoringListener implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            // No messages are sent in this test.
        }

        @Override
        public void closed(Connection connection) {
            // No handshake finishes in this test.
        }
    }

    /**
     * A stop must close accepted connections whose handshake has not finished. If they stay open, the dialing process waits
     * for its own timeout and cannot tell until then whether the other process is up.
     */
    @Test
    void aStopClosesAtOnceConnectionsThatHaveNotFinishedTheirHandshake() throws IOException {
        for (int i = 0; i < PEERS; i++) {
            Socket peer = new Socket(InetAddress.getLoopbackAddress(), acceptor.port());
            peer.setSoTimeout((int) CLOSE_LIMIT.toMillis());
            peers.add(peer);
        }
        LockSupport.parkNanos(ACCEPT_TIME.toNanos());
        assertThat(acceptor.stopGracefully()).isCompleted();
        assertThat(peers).allSatisfy(peer -> assertThat(isClosed(peer)).isTrue());
    }

    private static boolean isClosed(Socket peer) {
        try {
            while (peer.getInputStream().read() >= 0) {
                // Handshake messages may have been sent before the stop.
            }
            return true;
        } catch (SocketTimeoutException e) {
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}
