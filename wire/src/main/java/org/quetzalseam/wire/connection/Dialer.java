package org.quetzalseam.wire.connection;

import com.google.common.flogger.FluentLogger;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.WireException.Code;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;
import org.quetzalseam.wire.runtime.TimerService;
import org.quetzalseam.wire.runtime.TimerService.Subscription;

/**
 * Keeps one connection to one process open: after a loss it dials again, with a delay that doubles up to a bound and has
 * jitter, so that many processes don't return at the same moment. Thread-safe.
 */
public final class Dialer implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long FIRST_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 2_000;

    /** Receives what happens on the dialer's connections. */
    public interface Listener extends Connection.Listener {
        /** Learns of a new connection before its first message in either direction. */
        void opened(Connection connection);
    }

    private final String host;
    private final int port;
    private final Identity self;
    private final SiteKey key;
    private final Transport transport;
    private final TimerService timers;
    private final Listener listener;
    private final AtomicLong connectionNumbers = new AtomicLong();
    /** Whether an attempt is to be made after the delay or at once, and isn't being made yet. */
    private final AtomicBoolean attemptPending = new AtomicBoolean();

    private final AtomicLong refusedAttempts = new AtomicLong();
    private volatile @Nullable Connection current;
    private volatile boolean stopped;
    private volatile Subscription scheduledAttempt = () -> {};
    private long delayMillis = FIRST_DELAY_MILLIS;

    /**
     * Creates a dialer.
     *
     * @param host address of the other process
     * @param port port of the other process
     * @param self who this process is
     * @param key the site's key
     * @param transport makes the sockets
     * @param timers runs the delayed attempts
     * @param listener receives what happens
     */
    public Dialer(
            String host,
            int port,
            Identity self,
            SiteKey key,
            Transport transport,
            TimerService timers,
            Listener listener) {
        this.host = host;
        this.port = port;
        this.self = self;
        this.key = key;
        this.transport = transport;
        this.timers = timers;
        this.listener = listener;
    }

    @Override
    public void start() {
        scheduleAttempt(Duration.ZERO);
    }

    private void scheduleAttempt(Duration delay) {
        attemptPending.set(true);
        scheduledAttempt = timers.after(delay, () -> dialIfPending(false));
    }

    /** Makes the attempt that is due after a delay now. Does nothing while there is a connection or an attempt is being made. */
    public void dialNow() {
        if (attemptPending.get()) {
            scheduledAttempt.cancel();
            dialIfPending(true);
        }
    }

    private void dialIfPending(boolean hurried) {
        if (attemptPending.compareAndSet(true, false)) {
            // Dialling blocks, so it has a thread of its own instead of one of the timer's.
            Threads.daemon("dial-" + host + ":" + port, () -> dial(hurried)).start();
        }
    }

    /** Returns how many attempts have found no process that answers at the address; one that stays silent isn't counted. */
    public long refusedAttempts() {
        return refusedAttempts.get();
    }

    private void dial(boolean hurried) {
        if (stopped) {
            return;
        }
        try {
            Connection connection = connect();
            delayMillis = FIRST_DELAY_MILLIS;
            // Only then current: what is sent earlier would be taken for a part of what the last connection carried.
            listener.opened(connection);
            current = connection;
            connection.start();
            if (stopped) {
                connection.close();
            }
        } catch (IOException | WireException e) {
            logger.atFine().log("event=dial-failed peer=%s:%d reason=%s", host, port, e.getMessage());
            if (isRefusal(e)) {
                refusedAttempts.incrementAndGet();
            }
            scheduleRetry(hurried);
        }
    }

    private Connection connect() throws IOException {
        Socket socket = transport.connect(host, port, CONNECT_TIMEOUT);
        try {
            DataInputStream in = Connection.input(socket);
            OutputStream out = Connection.output(socket);
            Handshake.Peer peer = Handshake.open(in, out, self, key, connectionNumbers.incrementAndGet());
            return new Connection(socket, in, out, peer, new RedialingListener());
        } catch (IOException | RuntimeException e) {
            Sockets.close(socket);
            throw e;
        }
    }

    /** Returns whether an attempt failed because nobody talks at the address. */
    private static boolean isRefusal(Exception failure) {
        return failure instanceof WireException rejected
                ? rejected.code() == Code.DISCONNECTED
                : !(failure instanceof SocketTimeoutException);
    }

    /** Waits for the next attempt; one that was made ahead of its time doesn't put those after it off. */
    private void scheduleRetry(boolean hurried) {
        if (stopped) {
            return;
        }
        long jitter = ThreadLocalRandom.current().nextLong(delayMillis / 2 + 1);
        scheduleAttempt(Duration.ofMillis(delayMillis / 2 + jitter));
        if (!hurried) {
            delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
        }
    }

    /** Sends a message over the current connection. Returns false when there is none. */
    public boolean send(Message message) {
        Connection connection = current;
        return connection != null && connection.send(message);
    }

    private final class RedialingListener implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            listener.received(connection, message);
        }

        @Override
        public void closed(Connection connection) {
            listener.closed(connection);
            scheduleRetry(false);
        }
    }

    @Override
    public void stop() {
        stopped = true;
        Connection connection = current;
        if (connection != null) {
            connection.close();
        }
    }
}
