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

/** Accepts connections from other processes and reports each one once its handshake has succeeded. Thread-safe. */
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
    /** Accepted sockets whose handshake has not finished. */
    private final Set<Socket> handshaking = ConcurrentHashMap.newKeySet();

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
        this.handshakes =
                Executors.newFixedThreadPool(MAX_CONCURRENT_HANDSHAKES, Threads.named(self.name() + "-handshake"));
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
                logger.atFine().log("event=accept-failed reason=%s", e.getMessage());
            }
        }
    }

    private void startHandshake(Socket socket) {
        handshaking.add(socket);
        try {
            handshakes.execute(() -> handshake(socket));
        } catch (RejectedExecutionException e) {
            // The acceptor is stopping. If the socket stayed open, the peer would keep waiting for an answer.
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
            handshaking.forEach(Sockets::close);
        }
    }

    @Override
    public void stop() {
        stopAccepting();
        connections().forEach(Connection::close);
    }
}
