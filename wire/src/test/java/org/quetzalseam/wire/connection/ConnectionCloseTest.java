package org.quetzalseam.wire.connection;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Collections;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.message.Role;
import org.quetzalseam.wire.runtime.TimerService;

class ConnectionCloseTest {
    private static final int MESSAGES = 400;
    private static final int KEYS_PER_MESSAGE = 100;
    private static final int CONNECTIONS = 300;
    /** Increase of the delay of the close from one connection to the next, so that some are closed during a write. */
    private static final long CLOSE_DELAY_STEP_NANOS = 1_000;

    /** All messages together are several megabytes: more than the buffers between the two ends hold. */
    private static final Leaving LARGE = new Leaving(Collections.nCopies(KEYS_PER_MESSAGE, "k".repeat(300)));

    private final TimerService timers = new TimerService("test");
    private final BlockingQueue<Connection> accepted = new LinkedBlockingQueue<>();
    private final AtomicInteger received = new AtomicInteger();
    private final CountDownLatch mayRead = new CountDownLatch(1);
    private final Acceptor acceptor = new Acceptor(
            "127.0.0.1",
            0,
            Identity.start(Role.ENDPOINT, "endpoint", "zone"),
            SiteKey.loopback(),
            Transport.plain(),
            new IgnoringListener(),
            accepted::add);

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

    private static final class IgnoringListener implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            // Messages from the peer are irrelevant in this test.
        }

        @Override
        public void closed(Connection connection) {
            // The test waits for the close itself.
        }
    }

    /** Blocks the reading thread until the test releases it, like a peer on an overloaded machine. */
    private final class DelayedListener implements Dialer.Listener {
        @Override
        public void opened(Connection connection) {
            // No preparation is needed.
        }

        @Override
        public void received(Connection connection, Message message) {
            try {
                mayRead.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            received.incrementAndGet();
        }

        @Override
        public void closed(Connection connection) {
            // The test checks the number of received messages instead.
        }
    }

    private Dialer dial() throws InterruptedException {
        Dialer dialer = new Dialer(
                "127.0.0.1",
                acceptor.port(),
                Identity.start(Role.ENTRY, "entry", "zone"),
                SiteKey.loopback(),
                Transport.plain(),
                timers,
                new DelayedListener());
        dialer.start();
        return dialer;
    }

    @Test
    void aPeerThatReadsLateReceivesAllMessagesSentBeforeAGracefulClose() throws Exception {
        Dialer dialer = dial();
        Connection connection = accepted.poll(5, TimeUnit.SECONDS);
        for (int i = 0; i < MESSAGES; i++) {
            assertThat(connection.send(LARGE)).isTrue();
        }
        CompletableFuture<Void> closed = acceptor.stopGracefully();
        assertThat(connection.send(LARGE))
                .as("nothing is sent after a graceful close")
                .isFalse();
        dialer.send(LARGE);
        assertThat(closed).isNotDone();
        mayRead.countDown();
        closed.get(20, TimeUnit.SECONDS);
        assertThat(received).hasValue(MESSAGES);
        dialer.stop();
    }

    @Test
    void aStopDoesNotWaitForAPeerThatNeverReads() throws InterruptedException, ExecutionException {
        Dialer dialer = dial();
        Connection connection = accepted.poll(5, TimeUnit.SECONDS);
        for (int i = 0; i < MESSAGES; i++) {
            connection.send(LARGE);
        }
        CompletableFuture<Void> closed = acceptor.stopGracefully();
        long limit = Duration.ofMillis(200).toMillis();
        try {
            closed.get(limit, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            acceptor.stop();
        }
        assertThat(connection.isOpen()).isFalse();
        mayRead.countDown();
        dialer.stop();
    }

    /** Busy-waits, because the delays are shorter than a thread can be parked for. */
    private static void spin(long nanos) {
        long until = System.nanoTime() + nanos;
        while (System.nanoTime() - until < 0) {
            Thread.onSpinWait();
        }
    }

    /**
     * Guards against a lost end marker: the writer has taken a message just before the marker is queued, treats the marker as
     * one more message and waits for the next one. The connection of a stopping endpoint then stays open, and the entry uses
     * it until the read timeout of 6 seconds.
     */
    @Test
    void aConnectionClosedGracefullyDuringAWriteIsClosed() throws Exception {
        mayRead.countDown();
        for (int i = 0; i < CONNECTIONS; i++) {
            Dialer dialer = dial();
            Connection connection = accepted.poll(5, TimeUnit.SECONDS);
            connection.send(LARGE);
            spin(i * CLOSE_DELAY_STEP_NANOS);
            connection.closeGracefully();
            connection.whenClosed().get(2, TimeUnit.SECONDS);
            dialer.stop();
        }
    }
}
