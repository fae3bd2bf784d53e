package org.quetzalseam.wire.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.runtime.TimerService;

class DialerTest {
    private static final long LIMIT_SECONDS = 5;
    private static final Message MESSAGE = new Leaving(List.of());

    private final TimerService timers = new TimerService("test");
    private final CountDownLatch opened = new CountDownLatch(1);
    private final CountDownLatch prepared = new CountDownLatch(1);
    private final CountDownLatch arrived = new CountDownLatch(1);
    private final Acceptor acceptor = new Acceptor(
            "127.0.0.1",
            0,
            Identity.start(Role.ENDPOINT, "endpoint", "zone"),
            SiteKey.loopback(),
            Transport.plain(),
            new ArrivalListener(),
            connection -> {});

    @BeforeEach
    void start() {
        timers.start();
        acceptor.start();
    }

    @AfterEach
    void stop() {
        acceptor.stop();
        timers.stop();
    }

    private final class ArrivalListener implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            arrived.countDown();
        }

        @Override
        public void closed(Connection connection) {
            // Closes are irrelevant in this test.
        }
    }

    /** Takes long to prepare for a new connection, like a listener on an overloaded machine. */
    private final class SlowListener implements Dialer.Listener {
        @Override
        public void opened(Connection connection) {
            opened.countDown();
            try {
                prepared.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void received(Connection connection, Message message) {
            // The peer sends no messages.
        }

        @Override
        public void closed(Connection connection) {
            // Closes are irrelevant in this test.
        }
    }

    /**
     * A listener is notified of a new connection so that it can fail the requests in flight on the previous one. A message sent
     * before it has done so would be failed with them, and its sender would consider it lost although it arrives.
     */
    @Test
    void nothingIsSentOverANewConnectionBeforeItsListenerIsPrepared() throws InterruptedException {
        Dialer dialer = new Dialer(
                "127.0.0.1",
                acceptor.port(),
                Identity.start(Role.ENTRY, "entry", "zone"),
                SiteKey.loopback(),
                Transport.plain(),
                timers,
                new SlowListener());
        dialer.start();
        assertThat(opened.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(dialer.send(MESSAGE)).isFalse();
        prepared.countDown();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (!dialer.send(MESSAGE) && System.nanoTime() - end < 0) {
            Thread.onSpinWait();
        }
        assertThat(arrived.await(LIMIT_SECONDS, TimeUnit.SECONDS)).isTrue();
        dialer.stop();
    }

    // Guards against a list with a port that no socket has, after which the dialer's thread ends and nothing is tried
    // again.
    @Test
    void anAddressThatNoSocketHasIsTriedAgain() throws InterruptedException {
        Dialer dialer = new Dialer(
                "127.0.0.1",
                70_000,
                Identity.start(Role.ENTRY, "entry", "zone"),
                SiteKey.loopback(),
                Transport.plain(),
                timers,
                new SlowListener());
        dialer.start();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (dialer.refusedAttempts() < 2 && System.nanoTime() - end < 0) {
            TimeUnit.MILLISECONDS.sleep(10);
        }
        dialer.stop();
        assertThat(dialer.refusedAttempts()).isGreaterThanOrEqualTo(2);
    }

    /** Throws when its connection closes, like a listener in a process whose heap is full. */
    private static final class FailingListener implements Dialer.Listener {
        private final CountDownLatch connections = new CountDownLatch(2);

        @Override
        public void opened(Connection connection) {
            connections.countDown();
        }

        @Override
        public void received(Connection connection, Message message) {
            // The peer sends no messages.
        }

        @Override
        public void closed(Connection connection) {
            throw new InternalError("thrown by the test");
        }
    }

    // Guards against an entry that never reaches an endpoint again because handling the loss of a connection failed.
    @Test
    void aConnectionIsDialedAgainThoughHandlingItsLossFailed() throws InterruptedException {
        FailingListener failing = new FailingListener();
        Dialer dialer = new Dialer(
                "127.0.0.1",
                acceptor.port(),
                Identity.start(Role.ENTRY, "entry", "zone"),
                SiteKey.loopback(),
                Transport.plain(),
                timers,
                failing);
        dialer.start();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(LIMIT_SECONDS);
        while (failing.connections.getCount() > 0 && System.nanoTime() - end < 0) {
            acceptor.connections().forEach(Connection::close);
            TimeUnit.MILLISECONDS.sleep(10);
        }
        dialer.stop();
        assertThat(failing.connections.getCount())
                .as("connections still missing")
                .isZero();
    }
}
