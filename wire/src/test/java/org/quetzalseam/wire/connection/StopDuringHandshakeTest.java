package org.quetzalseam.wire.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.runtime.Threads;
import org.quetzalseam.wire.runtime.TimerService;

class StopDuringHandshakeTest {
    private static final int MESSAGES = 10;
    private static final Duration STOP_TIME = Duration.ofMillis(300);

    private final TimerService timers = new TimerService("test");
    private final CountDownLatch received = new CountDownLatch(MESSAGES);
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final Acceptor acceptor = new Acceptor(
            "127.0.0.1",
            0,
            Identity.start(Role.ENDPOINT, "endpoint", "zone"),
            SiteKey.loopback(),
            Transport.plain(),
            new CountingListener(),
            this::sendAndStop);
    private final Dialer dialer;

    StopDuringHandshakeTest() {
        acceptor.start();
        timers.start();
        dialer = new Dialer(
                "127.0.0.1",
                acceptor.port(),
                Identity.start(Role.ENTRY, "entry", "zone"),
                SiteKey.loopback(),
                Transport.plain(),
                timers,
                new CountingListener());
    }

    @AfterEach
    void stop() {
        dialer.stop();
        acceptor.stop();
        timers.stop();
    }

    private final class CountingListener implements Dialer.Listener {
        @Override
        public void opened(Connection connection) {
            // No preparation is needed.
        }

        @Override
        public void received(Connection connection, Message message) {
            received.countDown();
        }

        @Override
        public void closed(Connection connection) {
            // The test counts the messages.
        }
    }

    private void sendAndStop(Connection connection) {
        for (int i = 0; i < MESSAGES; i++) {
            connection.send(new Leaving(List.of()));
        }
        Threads.daemon("stop", this::stopGracefully).start();
        // The stop interrupts this thread, which stays here long enough for the stop to go on.
        long until = System.nanoTime() + STOP_TIME.toNanos();
        while (System.nanoTime() - until < 0) {
            Thread.onSpinWait();
        }
    }

    private void stopGracefully() {
        acceptor.stopGracefully().join();
        stopped.complete(null);
    }

    // Guards against a planned stop closing a connection at once, and with it the messages sent on it, because the
    // acceptor has not finished opening it.
    @Test
    void messagesSentWhileAConnectionOpensAreReceivedThoughTheAcceptorStops() throws Exception {
        dialer.start();
        assertThat(received.await(5, TimeUnit.SECONDS)).isTrue();
        stopped.get(5, TimeUnit.SECONDS);
    }
}
