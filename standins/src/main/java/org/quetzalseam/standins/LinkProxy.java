package org.quetzalseam.standins;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * Forwards TCP connections to a loopback port and injects network faults. It can close or reset connections, refuse new
 * ones, freeze (bytes are held back and arrive late), delay, or drop bytes in one or both directions. Thread-safe.
 */
public final class LinkProxy {
    private static final int BUFFER_BYTES = 16_384;
    private static final int BACKLOG = 256;

    private final String name;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> droppingSockets = ConcurrentHashMap.newKeySet();
    private final Object gate = new Object();
    private boolean frozen;
    private volatile int targetPort;
    private volatile long delayMillis;
    private volatile boolean dropsToTarget;
    private volatile boolean dropsFromTarget;
    private volatile boolean refusing;

    /** Starts a proxy to a loopback port. */
    public LinkProxy(int target) {
        this("link", target);
    }

    /** Starts a proxy to a loopback port, with a name for its threads. */
    public LinkProxy(String name, int target) {
        this.name = name;
        this.targetPort = target;
        try {
            this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        startThread("accept", this::accept);
    }

    private void startThread(String part, Runnable task) {
        Thread thread = new Thread(task, name + "-" + part);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the proxy's name. */
    public String name() {
        return name;
    }

    /** Returns the port that the proxy listens on. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns the address that the proxy listens on, as host and port. */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Forwards new connections to another port. */
    public void redirect(int port) {
        targetPort = port;
    }

    /** Closes all connections in order; new ones are accepted at once. */
    public void cut() {
        sockets.forEach(LinkProxy::close);
    }

    /** Resets all connections; new ones are accepted at once. */
    public void reset() {
        sockets.forEach(LinkProxy::reset);
    }

    /** Closes the existing connections and each new one, or accepts new ones again. */
    public void partition(boolean now) {
        refusing = now;
        if (now) {
            cut();
        }
    }

    /** Holds all bytes back, or forwards them again, including those held back. */
    public void freeze(boolean now) {
        synchronized (gate) {
            frozen = now;
            gate.notifyAll();
        }
    }

    /** Delays each block of bytes, in both directions, by a time in milliseconds. */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /** Drops the bytes to the target, from it, or both, on open and on new connections. */
    public void dropBytes(boolean there, boolean back) {
        dropsToTarget = there;
        dropsFromTarget = back;
    }

    /** Drops from now on all bytes of the connections that are open, in both directions and permanently; new ones work. */
    public void dropBytesOfOpenConnections() {
        droppingSockets.addAll(sockets);
    }

    /** Ends every fault. Connections that may have lost bytes are reset because later bytes would follow a gap. */
    public void heal() {
        boolean lossy = dropsToTarget || dropsFromTarget;
        delay(0);
        freeze(false);
        partition(false);
        dropBytes(false, false);
        if (lossy) {
            reset();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                connect(server.accept());
            } catch (IOException ignored) {
                // The listener has been closed, or a connection was lost before it was accepted.
            }
        }
    }

    private void connect(Socket caller) {
        // A closed listener may return one more connection.
        if (refusing || server.isClosed()) {
            close(caller);
            return;
        }
        try {
            Socket callee = new Socket(InetAddress.getLoopbackAddress(), targetPort);
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
            sockets.add(caller);
            sockets.add(callee);
            startThread("there", () -> copy(caller, callee, true));
            startThread("back", () -> copy(callee, caller, false));
        } catch (IOException e) {
            reset(caller);
        }
    }

    private void copy(Socket from, Socket to, boolean there) {
        boolean bytesLost = false;
        byte[] buffer = new byte[BUFFER_BYTES];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int length = in.read(buffer);
            while (length >= 0) {
                awaitUnfrozen();
                sleep(delayMillis);
                // Drops everything after a loss, because a real connection delivers nothing beyond a gap.
                bytesLost |= (there ? dropsToTarget : dropsFromTarget) || droppingSockets.contains(from);
                if (!bytesLost) {
                    out.write(buffer, 0, length);
                }
                length = in.read(buffer);
            }
            close(to);
            close(from);
        } catch (IOException lost) {
            // Closed by an injected fault or reset by one side: resets both sides, so that the other side sees it too.
            reset(to);
            reset(from);
        }
        sockets.removeAll(List.of(from, to));
        droppingSockets.removeAll(List.of(from, to));
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitUnfrozen() {
        synchronized (gate) {
            while (frozen) {
                try {
                    gate.wait();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                    return;
                }
            }
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException ignored) {
            // The socket is closed already.
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // The socket is closed already.
        }
    }

    /** Stops the proxy and closes its connections. */
    public void stop() {
        freeze(false);
        try {
            server.close();
        } catch (IOException ignored) {
            // The socket is closed already.
        }
        cut();
    }
}
