package org.quetzalseam.standins;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LinkProxyTest {
    /** Time after which written bytes have been delivered or are lost. */
    private static final Duration DELIVERY_TIME = Duration.ofSeconds(1);

    private static final Duration LIMIT = Duration.ofSeconds(10);

    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final LinkProxy proxy = new LinkProxy(server.getLocalPort());

    LinkProxyTest() throws IOException {
        // Declares the exception of the initializer that binds the server's port.
    }

    @AfterEach
    void stop() throws IOException {
        proxy.stop();
        server.close();
    }

    /**
     * Guards against delivery beyond a gap. A caller received the events 1 to 281 of a stream and then the 618th, because bytes passed between
     * the end of a fault that drops bytes and the reset of the affected connections. A network delivers nothing beyond lost bytes.
     */
    @Test
    void nothingPassesBeyondBytesThatWereLost() throws IOException {
        try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), proxy.port());
                Socket callee = server.accept()) {
            caller.setSoTimeout((int) LIMIT.toMillis());
            callee.getOutputStream().write('a');
            assertThat(caller.getInputStream().read()).isEqualTo('a');
            proxy.dropBytes(false, true);
            callee.getOutputStream().write('b');
            LockSupport.parkNanos(DELIVERY_TIME.toNanos());
            proxy.dropBytes(false, false);
            callee.getOutputStream().write('c');
            caller.setSoTimeout((int) DELIVERY_TIME.toMillis());
            assertThatThrownBy(() -> caller.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
        }
    }
}
