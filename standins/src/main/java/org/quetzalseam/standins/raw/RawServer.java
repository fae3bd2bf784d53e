package org.quetzalseam.standins.raw;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;

/** Serves HTTP on a free port of the loopback interface with one thread per connection. Thread-safe. */
public final class RawServer implements AutoCloseable {
    private static final int BACKLOG = 256;

    /** Writes the reply to one request. An exception resets the connection. */
    @FunctionalInterface
    public interface Script {
        /** Replies to a request or sends nothing. */
        void reply(RawRequest request, RawConnection connection) throws IOException;
    }

    private final ServerSocket listener;
    private final ExecutorService threads = Executors.newCachedThreadPool(RawServer::daemonThread);
    private final AtomicInteger accepted = new AtomicInteger();
    private final Set<RawConnection> open = ConcurrentHashMap.newKeySet();
    private final Script script;
    private final Thread acceptor = daemonThread(this::accept);

    /** Starts a server whose replies the script writes. */
    public RawServer(Script script) {
        this.script = script;
        try {
            listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        acceptor.start();
    }

    private static Thread daemonThread(Runnable task) {
        Thread thread = new Thread(task, "raw-server");
        thread.setDaemon(true);
        return thread;
    }

    /** Returns the port that the server listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the number of connections accepted so far. */
    public int connections() {
        return accepted.get();
    }

    /** Returns the number of connections that are open now. */
    public int openConnections() {
        return open.size();
    }

    /** Resets all connections. */
    public void resetAll() {
        open.forEach(RawConnection::reset);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                startServing(listener.accept());
            } catch (IOException expected) {
                // The listener was closed, which ends the loop, or the caller disconnected.
            }
        }
    }

    private void startServing(Socket socket) throws IOException {
        RawConnection connection = new RawConnection(socket);
        if (listener.isClosed()) {
            connection.reset();
            return;
        }
        accepted.incrementAndGet();
        threads.execute(() -> serve(connection));
    }

    private void serve(RawConnection connection) {
        open.add(connection);
        try {
            @Nullable RawRequest request = connection.read();
            while (request != null) {
                script.reply(request, connection);
                request = connection.read();
            }
            connection.close();
        } catch (IOException | RuntimeException expected) {
            connection.reset();
        } finally {
            open.remove(connection);
        }
    }

    /** Stops the server and resets its connections. After it returns, new connections are refused. */
    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        awaitAcceptor();
        resetAll();
        threads.shutdownNow();
    }

    /** Waits for the accepting thread, because the port accepts connections until that thread has left its system call. */
    private void awaitAcceptor() {
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
