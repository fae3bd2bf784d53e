package org.quetzalseam.wire.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;

class AcceptorErrorsTest {
    private static final long LIMIT_SECONDS = 10;
    /** More than the handshakes that may be in progress. */
    private static final int SOCKETS = 140;

    private final CountDownLatch accepted = new CountDownLatch(1);
    private final CountDownLatch limitReached = new CountDownLatch(1);
    private final List<Socket> sockets = new ArrayList<>();
    private final Acceptor acceptor = new Acceptor(
            "127.0.0.1",
            0,
            Identity.start(Role.ENDPOINT, "endpoint", "zone"),
            SiteKey.loopback(),
            Transport.plain(),
            new IgnoringListener(),
            connection -> accepted.countDown());

    private static final class IgnoringListener implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            // Only whether there is a connection matters.
        }

        @Override
        public void closed(Connection connection) {
            // Only whether there is a connection matters.
        }
    }

    @BeforeEach
    void start() {
        acceptor.limit(SOCKETS, limit -> {
            limitReached.countDown();
            throw new InternalError("thrown by the test");
        });
        acceptor.start();
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket socket : sockets) {
            socket.close();
        }
        acceptor.stop();
    }

    // Guards against a process that nobody can connect to any more because accepting one connection failed with an
    // error.
    @Test
    void anErrorWhileOneConnectionIsAcceptedDoesNotKeepOthersOut() throws Exception {
        for (int i = 0; i < SOCKETS; i++) {
            sockets.add(new Socket(InetAddress.getLoopbackAddress(), acceptor.port()));
        }
        assertThat(limitReached.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        for (Socket socket : sockets) {
            socket.close();
        }
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), acceptor.port())) {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(LIMIT_SECONDS));
            Handshake.open(
                    Connection.input(socket),
                    Connection.output(socket),
                    Identity.start(Role.ENTRY, "entry", "zone"),
                    SiteKey.loopback(),
                    1);
            assertThat(accepted.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        }
    }
}
