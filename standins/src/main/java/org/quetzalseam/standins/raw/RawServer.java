package org.quetzalseam.standins.raw;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
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

    /** Starts a server. */
    public RawServer(Script script) {
        this.script = script;
        try {
            listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        threads.execute(this::accept);
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
                RawConnection connection = new RawConnection(listener.accept());
                accepted.incrementAndGet();
                threads.execute(() -> serve(connection));
            } catch (IOException expected) {
                return;
            }
        }
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

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        resetAll();
        threads.shutdownNow();
    }
}
