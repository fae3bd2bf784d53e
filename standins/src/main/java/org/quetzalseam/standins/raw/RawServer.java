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

/** Serves HTTP on a free port of loopback with a thread a connection. Thread-safe. */
public final class RawServer implements AutoCloseable {
    private static final int BACKLOG = 256;

    /** Writes the reply to one request. An exception resets the connection. */
    @FunctionalInterface
    public interface Script {
        /** Replies, or doesn't. */
        void reply(RawRequest request, RawConnection connection) throws IOException;
    }

    private final ServerSocket listener;
    private final ExecutorService threads = Executors.newCachedThreadPool(RawServer::daemonThread);
    private final AtomicInteger accepted = new AtomicInteger();
    private final Set<RawConnection> open = ConcurrentHashMap.newKeySet();
    private final Script script;
    private final Thread acceptor = daemonThread(this::accept);

    /** Starts a server. */
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

    /** Returns the port it listens on. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns how many connections have been accepted. */
    public int connections() {
        return accepted.get();
    }

    /** Resets all connections. */
    public void resetAll() {
        open.forEach(RawConnection::reset);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                take(listener.accept());
            } catch (IOException expected) {
                // Closed, or the caller has gone: the loop's condition tells.
            }
        }
    }

    private void take(Socket socket) throws IOException {
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

    /** Stops the server and resets its connections. From then on connections are refused. */
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

    /** Waits for the accepting thread: until it has left its system call the port still takes connections. */
    private void awaitAcceptor() {
        try {
            acceptor.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
