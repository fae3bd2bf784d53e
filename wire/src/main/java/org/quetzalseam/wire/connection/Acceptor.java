package org.quetzalseam.wire.connection;

import com.google.common.flogger.FluentLogger;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.WireException.Code;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;
import org.quetzalseam.wire.runtime.ThrownErrors;

/** Accepts connections from other processes and reports each one once its handshake has succeeded. Thread-safe. */
public final class Acceptor implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(3);
    /** Most sockets whose handshake has not finished; beyond it the oldest is closed, because a handshake takes some round trips. */
    private static final int MAX_CONCURRENT_HANDSHAKES = 128;

    private static final long THREAD_IDLE_SECONDS = 10;
    /** Pause after a socket could not be accepted, as when no descriptor is left. */
    private static final long ACCEPT_RETRY_MILLIS = 50;

    private final String host;
    private final int port;
    private final Identity self;
    private final SiteKey key;
    private final Transport transport;
    private final Connection.Listener listener;
    private final Consumer<Connection> onOpened;
    private int maxConnections = Integer.MAX_VALUE;
    private Consumer<String> onLimit = limit -> {};
    /** Accepted sockets whose handshake has not finished, and when they were accepted, in monotonic nanoseconds. */
    private final Map<Socket, Long> handshaking = new ConcurrentHashMap<>();

    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final ExecutorService handshakes;
    private final Object stopLock = new Object();
    private boolean stopping;
    private volatile @Nullable ServerSocket server;

    /**
     * Creates an acceptor.
     *
     * @param host address to listen on; an address other than loopback needs a secret site key
     * @param port port to listen on, or 0 for any free port
     * @param self identity of this process
     * @param key the site's key
     * @param transport creates the sockets
     * @param listener receives the messages of all connections
     * @param onOpened called with each new connection before its first message is read
     */
    public Acceptor(
            String host,
            int port,
            Identity self,
            SiteKey key,
            Transport transport,
            Connection.Listener listener,
            Consumer<Connection> onOpened) {
        this.host = host;
        this.port = port;
        this.self = self;
        this.key = key;
        this.transport = transport;
        this.listener = listener;
        this.onOpened = onOpened;
        // Twice as many threads as sockets, because the thread of a socket that was closed ends a little later.
        this.handshakes = new ThreadPoolExecutor(
                0,
                2 * MAX_CONCURRENT_HANDSHAKES,
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                new SynchronousQueue<>(),
                Threads.named(self.name() + "-handshake"));
    }

    /**
     * Limits the number of connections. To be called before {@link #start}.
     *
     * @param connections most open connections; further ones are closed after their handshake
     * @param reached receives the name of a limit that closes a connection
     */
    public void limit(int connections, Consumer<String> reached) {
        maxConnections = connections;
        onLimit = reached;
    }

    @Override
    public void start() {
        try {
            if (!key.isSecret() && !InetAddress.getByName(host).isLoopbackAddress()) {
                throw new WireException(
                        Code.NOT_AUTHENTIC,
                        "listening on " + host + " needs a site key; without one only loopback addresses are allowed");
            }
            ServerSocket serverSocket = transport.listen(host, port);
            server = serverSocket;
            Threads.daemon(self.name() + "-accept", () -> acceptLoop(serverSocket))
                    .start();
        } catch (IOException e) {
            throw new WireException(Code.DISCONNECTED, "cannot listen on " + host + ":" + port, e);
        }
    }

    /** Returns the port that the acceptor listens on. */
    public int port() {
        ServerSocket serverSocket = server;
        if (serverSocket == null) {
            throw new IllegalStateException("the acceptor has not been started");
        }
        return serverSocket.getLocalPort();
    }

    /** Returns the open connections. */
    public Set<Connection> connections() {
        return Set.copyOf(connections);
    }

    private void acceptLoop(ServerSocket serverSocket) {
        while (!serverSocket.isClosed()) {
            try {
                startHandshake(serverSocket.accept());
            } catch (IOException e) {
                if (!serverSocket.isClosed()) {
                    logger.atWarning().log("event=accept-failed reason=%s", e.getMessage());
                    pause();
                }
            } catch (Throwable e) {
                // Such as an error because no thread could be started: without this loop nobody could connect any more.
                ThrownErrors.record("accept", e);
                pause();
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(ACCEPT_RETRY_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes the sockets whose handshake takes too long, and the oldest one if there are too many. */
    private void makeRoom() {
        long now = System.nanoTime();
        handshaking.forEach((socket, since) -> {
            if (now - since > HANDSHAKE_TIMEOUT.toNanos()) {
                Sockets.close(socket);
            }
        });
        if (handshaking.size() >= MAX_CONCURRENT_HANDSHAKES) {
            handshaking.entrySet().stream()
                    .min(Comparator.comparingLong(candidate -> candidate.getValue() - now))
                    .ifPresent(oldest -> {
                        logger.atInfo().log(
                                "event=connection-closed limit=handshakes handshakes=%d most=%d peer=%s age_ms=%d",
                                handshaking.size(),
                                MAX_CONCURRENT_HANDSHAKES,
                                oldest.getKey().getRemoteSocketAddress(),
                                TimeUnit.NANOSECONDS.toMillis(now - oldest.getValue()));
                        handshaking.remove(oldest.getKey());
                        Sockets.close(oldest.getKey());
                        onLimit.accept("handshakes");
                    });
        }
    }

    private void startHandshake(Socket socket) {
        try {
            makeRoom();
            handshaking.put(socket, System.nanoTime());
            handshakes.execute(() -> handshake(socket));
        } catch (RejectedExecutionException e) {
            // The acceptor is stopping. If the socket stayed open, the peer would keep waiting for an answer.
            handshaking.remove(socket);
            Sockets.close(socket);
        } catch (Throwable e) {
            handshaking.remove(socket);
            Sockets.close(socket);
            throw e;
        }
    }

    private void handshake(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) HANDSHAKE_TIMEOUT.toMillis());
            DataInputStream in = Connection.input(socket);
            OutputStream out = Connection.output(socket);
            Handshake.Peer peer = Handshake.answer(in, out, self, key);
            Connection connection = new Connection(socket, in, out, peer, true, new RemovingListener());
            if (!admit(socket, connection)) {
                Sockets.close(socket);
                return;
            }
            onOpened.accept(connection);
            connection.start();
        } catch (IOException | RuntimeException e) {
            logger.atWarning().log(
                    "event=handshake-failed from=%s reason=%s", socket.getRemoteSocketAddress(), e.getMessage());
            Sockets.close(socket);
        } finally {
            handshaking.remove(socket);
        }
    }

    /** Moves a connection from the handshakes, which a stop cuts, to those that it closes gracefully. */
    private boolean admit(Socket socket, Connection connection) {
        synchronized (stopLock) {
            if (stopping) {
                return false;
            }
            handshaking.remove(socket);
            if (connections.size() >= maxConnections) {
                logger.atWarning().log(
                        "event=connection-closed limit=peer-connections connections=%d most=%d peer=%s",
                        connections.size(), maxConnections, connection.peer().name());
                onLimit.accept("peer-connections");
                return false;
            }
            connections.add(connection);
            return true;
        }
    }

    private final class RemovingListener implements Connection.Listener {
        @Override
        public void received(Connection connection, Message message) {
            listener.received(connection, message);
        }

        @Override
        public void closed(Connection connection) {
            connections.remove(connection);
            listener.closed(connection);
        }
    }

    /**
     * Stops accepting connections and closes the open ones gracefully, so that each peer receives all that was sent to it.
     *
     * @return a future that completes when all connections are closed; it never does if a peer does not read
     */
    public CompletableFuture<Void> stopGracefully() {
        stopAccepting();
        Set<Connection> open = connections();
        open.forEach(Connection::closeGracefully);
        return CompletableFuture.allOf(open.stream().map(Connection::whenClosed).toArray(CompletableFuture[]::new));
    }

    /** Also closes sockets whose handshake has not finished, so that their peers notice the stop without a timeout. */
    private void stopAccepting() {
        ServerSocket serverSocket = server;
        if (serverSocket != null) {
            Sockets.close(serverSocket);
        }
        handshakes.shutdownNow();
        synchronized (stopLock) {
            stopping = true;
            handshaking.keySet().forEach(Sockets::close);
        }
    }

    @Override
    public void stop() {
        stopAccepting();
        connections().forEach(Connection::close);
    }
}
