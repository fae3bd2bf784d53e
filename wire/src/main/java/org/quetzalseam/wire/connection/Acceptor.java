package org.quetzalseam.wire.connection;

import com.google.common.flogger.FluentLogger;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.WireException.Code;
import org.quetzalseam.wire.message.Message;
import org.quetzalseam.wire.runtime.Service;
import org.quetzalseam.wire.runtime.Threads;

/** Accepts connections from other processes and hands them over after their handshake. Thread-safe. */
public final class Acceptor implements Service {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(3);
    private static final int MAX_CONCURRENT_HANDSHAKES = 16;

    private final String host;
    private final int port;
    private final Identity self;
    private final SiteKey key;
    private final Transport transport;
    private final Connection.Listener listener;
    private final Consumer<Connection> onOpened;
    /** Sockets that have been accepted and are not yet a connection. */
    private final Set<Socket> handshaking = ConcurrentHashMap.newKeySet();

    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final ExecutorService handshakes;
    private volatile @Nullable ServerSocket server;

    /**
     * Creates an acceptor.
     *
     * @param host address to listen on; other than loopback only with a secret site key
     * @param port port to listen on, 0 for any
     * @param self who this process is
     * @param key the site's key
     * @param transport makes the sockets
     * @param listener receives the messages of all connections
     * @param opened is told of each connection before its first message
     */
    public Acceptor(
            String host,
            int port,
            Identity self,
            SiteKey key,
            Transport transport,
            Connection.Listener listener,
            Consumer<Connection> opened) {
        this.host = host;
        this.port = port;
        this.self = self;
        this.key = key;
        this.transport = transport;
        this.listener = listener;
        this.onOpened = opened;
        this.handshakes =
                Executors.newFixedThreadPool(MAX_CONCURRENT_HANDSHAKES, Threads.named(self.name() + "-handshake"));
    }

    @Override
    public void start() {
        try {
            if (!key.isSecret() && !InetAddress.getByName(host).isLoopbackAddress()) {
                throw new WireException(
                        Code.NOT_AUTHENTIC, "listening on " + host + " needs a site key; without one only loopback");
            }
            ServerSocket bound = transport.listen(host, port);
            server = bound;
            Threads.daemon(self.name() + "-accept", () -> acceptLoop(bound)).start();
        } catch (IOException e) {
            throw new WireException(Code.DISCONNECTED, "can't listen on " + host + ":" + port, e);
        }
    }

    /** Returns the port that is listened on. */
    public int port() {
        ServerSocket bound = server;
        if (bound == null) {
            throw new IllegalStateException("the acceptor has not been started");
        }
        return bound.getLocalPort();
    }

    /** Returns the open connections. */
    public Set<Connection> connections() {
        return Set.copyOf(connections);
    }

    private void acceptLoop(ServerSocket bound) {
        while (!bound.isClosed()) {
            try {
                startHandshake(bound.accept());
            } catch (IOException e) {
                logger.atFine().log("event=accept-failed reason=%s", e.getMessage());
            }
        }
    }

    private void startHandshake(Socket socket) {
        handshaking.add(socket);
        try {
            handshakes.execute(() -> handshake(socket));
        } catch (RejectedExecutionException e) {
            // Left open, it would keep its peer waiting for an answer.
            handshaking.remove(socket);
            Sockets.close(socket);
        }
    }

    private void handshake(Socket socket) {
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) HANDSHAKE_TIMEOUT.toMillis());
            DataInputStream in = Connection.input(socket);
            OutputStream out = Connection.output(socket);
            Handshake.Peer peer = Handshake.answer(in, out, self, key);
            Connection connection = new Connection(socket, in, out, peer, new RemovingListener());
            connections.add(connection);
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
     * Stops taking connections and ends those there are in order: each peer gets all that was sent to it.
     *
     * @return completes when all are closed; a peer that doesn't read never lets it
     */
    public CompletableFuture<Void> stopGracefully() {
        stopAccepting();
        Set<Connection> open = connections();
        open.forEach(Connection::closeGracefully);
        return CompletableFuture.allOf(open.stream().map(Connection::whenClosed).toArray(CompletableFuture[]::new));
    }

    /** Ends what is not yet a connection too: its peer is to learn at once that nobody answers here. */
    private void stopAccepting() {
        ServerSocket bound = server;
        if (bound != null) {
            Sockets.close(bound);
        }
        handshakes.shutdownNow();
        handshaking.forEach(Sockets::close);
    }

    @Override
    public void stop() {
        stopAccepting();
        connections().forEach(Connection::close);
    }
}
