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
import org.quetzalseam.wire.runtime.ThrownErrors;
import org.quetzalseam.wire.runtime.TimerService;
import org.quetzalseam.wire.runtime.TimerService.Subscription;

/**
 * Keeps one connection to one process open. After a loss it dials again, with a delay that doubles up to a limit. The delay
 * has jitter, so that many processes do not reconnect at the same moment. Thread-safe.
 */
public final class Dialer implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
    private static final long FIRST_DELAY_MILLIS = 20;
    private static final long MAX_DELAY_MILLIS = 2_000;

    /** Receives the events of the dialer's connections. */
    public interface Listener extends Connection.Listener {
        /** Handles a new connection. Called before any message is sent or received on it. */
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
    /** Whether an attempt to connect is scheduled and has not started yet. */
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
     * @param self identity of this process
     * @param key the site's key
     * @param transport creates the sockets
     * @param timers schedules the delayed attempts
     * @param listener receives the events of the connections
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

    /** Starts the scheduled attempt now. Does nothing while there is a connection or an attempt is in progress. */
    public void dialNow() {
        if (attemptPending.get()) {
            scheduledAttempt.cancel();
            dialIfPending(true);
        }
    }

    private void dialIfPending(boolean early) {
        if (attemptPending.compareAndSet(true, false)) {
            try {
                // Dialing blocks, so it runs on a thread of its own instead of a timer thread.
                Threads.daemon("dial-" + host + ":" + port, () -> dial(early)).start();
            } catch (Throwable e) {
                ThrownErrors.record("dial", e);
                scheduleRetry(early);
            }
        }
    }

    /**
     * Returns how many attempts failed because no process answers at the address. Attempts that timed out because the peer
     * was unresponsive are not counted.
     */
    public long refusedAttempts() {
        return refusedAttempts.get();
    }

    private void dial(boolean early) {
        if (stopped) {
            return;
        }
        try {
            Connection connection = connect();
            delayMillis = FIRST_DELAY_MILLIS;
            // Becomes current only after this call. The listener would count a message sent earlier as lost with
            // the previous connection.
            listener.opened(connection);
            current = connection;
            connection.start();
            if (stopped) {
                connection.close();
            }
        } catch (IOException | RuntimeException e) {
            // Any failure is retried: an address that no socket has raises an unchecked exception.
            logger.atFine().log("event=dial-failed peer=%s:%d reason=%s", host, port, e.getMessage());
            if (isRefusal(e)) {
                refusedAttempts.incrementAndGet();
            }
            scheduleRetry(early);
        } catch (Throwable e) {
            ThrownErrors.record("dial", e);
            scheduleRetry(early);
        }
    }

    private Connection connect() throws IOException {
        Socket socket = transport.connect(host, port, CONNECT_TIMEOUT);
        try {
            DataInputStream in = Connection.input(socket);
            OutputStream out = Connection.output(socket);
            Handshake.Peer peer = Handshake.open(in, out, self, key, connectionNumbers.incrementAndGet());
            return new Connection(socket, in, out, peer, false, new RedialingListener());
        } catch (Throwable e) {
            Sockets.close(socket);
            throw e;
        }
    }

    /** Returns whether an attempt failed because no process answers at the address. */
    private static boolean isRefusal(Exception failure) {
        return failure instanceof WireException wireFailure
                ? wireFailure.code() == Code.DISCONNECTED
                : !(failure instanceof SocketTimeoutException);
    }

    /** Schedules the next attempt. A failed attempt that {@link #dialNow} started early does not double the delay. */
    private void scheduleRetry(boolean early) {
        if (stopped) {
            return;
        }
        long jitter = ThreadLocalRandom.current().nextLong(delayMillis / 2 + 1);
        scheduleAttempt(Duration.ofMillis(delayMillis / 2 + jitter));
        if (!early) {
            delayMillis = Math.min(MAX_DELAY_MILLIS, delayMillis * 2);
        }
    }

    /** Sends a message over the current connection. Returns false if there is none or it is closed or closing. */
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
            try {
                listener.closed(connection);
            } catch (Throwable e) {
                ThrownErrors.record("connection-closed", e);
            }
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
