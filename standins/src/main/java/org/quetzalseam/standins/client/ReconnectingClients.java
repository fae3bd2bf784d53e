package org.quetzalseam.standins.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that connect, send, close without reading, and connect again. Each has a thread of its own. Thread-safe. */
public final class ReconnectingClients implements AutoCloseable {
    private static final int CONNECT_MILLIS = 5_000;

    private final InetSocketAddress target;
    private final byte[] bytes;
    private final AtomicInteger connected = new AtomicInteger();
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean stopped;

    /**
     * Starts clients.
     *
     * @param target the server's address
     * @param clients the number of clients
     * @param bytes what each connection sends; no more than a socket takes at once
     * @param connectionsEach the number of connections that each client opens, one after the other
     */
    public ReconnectingClients(InetSocketAddress target, int clients, byte[] bytes, int connectionsEach) {
        this.target = target;
        this.bytes = bytes.clone();
        for (int i = 0; i < clients; i++) {
            Thread thread = new Thread(() -> run(connectionsEach), "reconnecting-client");
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(int connections) {
        for (int i = 0; i < connections && !stopped; i++) {
            try (Socket socket = new Socket()) {
                socket.connect(target, CONNECT_MILLIS);
                connected.incrementAndGet();
                socket.getOutputStream().write(bytes);
            } catch (IOException expected) {
                // The server may close or refuse the connection.
            }
        }
    }

    /** Waits until all connections have been opened and closed. */
    public void awaitEnd() throws InterruptedException {
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** Returns how many connections have been established. */
    public int connected() {
        return connected.get();
    }

    /** Stops all clients after the connections that they have open. */
    @Override
    public void close() {
        stopped = true;
    }
}
