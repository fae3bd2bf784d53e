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
 * A network path to a port of loopback. It can be cut or reset, closed for new connections, frozen (bytes are held back and
 * arrive late), delayed, or silenced one way or both (bytes are lost). Thread-safe.
 */
public final class LinkProxy {
    private static final int BUFFER = 16_384;
    private static final int BACKLOG = 256;

    private final String name;
    private final ServerSocket server;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Set<Socket> silent = ConcurrentHashMap.newKeySet();
    private final Object gate = new Object();
    private boolean frozen;
    private volatile int target;
    private volatile long delayMillis;
    private volatile boolean silentThere;
    private volatile boolean silentBack;
    private volatile boolean refusing;

    /** Starts a path to a port. */
    public LinkProxy(int target) {
        this("link", target);
    }

    /** Starts a path with a name to a port. */
    public LinkProxy(String name, int target) {
        this.name = name;
        this.target = target;
        try {
            this.server = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        run("accept", this::accept);
    }

    private void run(String part, Runnable task) {
        Thread thread = new Thread(task, name + "-" + part);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the path's name. */
    public String name() {
        return name;
    }

    /** Returns the port that leads to the target. */
    public int port() {
        return server.getLocalPort();
    }

    /** Returns the address that leads to the target. */
    public String address() {
        return "127.0.0.1:" + port();
    }

    /** Leads new connections to another port. */
    public void target(int port) {
        target = port;
    }

    /** Cuts all connections in order; new ones can be made at once. */
    public void cut() {
        sockets.forEach(LinkProxy::close);
    }

    /** Resets all connections; new ones can be made at once. */
    public void reset() {
        sockets.forEach(LinkProxy::reset);
    }

    /** Refuses new connections and cuts the existing ones, or lets new ones through again. */
    public void partition(boolean now) {
        refusing = now;
        if (now) {
            cut();
        }
    }

    /** Holds all bytes back, or lets them go. */
    public void freeze(boolean now) {
        synchronized (gate) {
            frozen = now;
            gate.notifyAll();
        }
    }

    /** Delays each piece, in either direction. */
    public void delay(long millis) {
        delayMillis = millis;
    }

    /** Loses the bytes towards the target, back from it, or both, of open and of new connections. */
    public void silence(boolean there, boolean back) {
        silentThere = there;
        silentBack = back;
    }

    /** Loses from now on all bytes of the connections that are open, either way and for good; new ones work. */
    public void silenceOpen() {
        silent.addAll(sockets);
    }

    /** Ends every fault. Connections that may have lost bytes are reset, as what comes next would not fit. */
    public void heal() {
        boolean lossy = silentThere || silentBack;
        delay(0);
        freeze(false);
        partition(false);
        silence(false, false);
        if (lossy) {
            reset();
        }
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                connect(server.accept());
            } catch (IOException ignored) {
                // The proxy is being stopped.
            }
        }
    }

    private void connect(Socket caller) {
        // A listener that is closed may hand out one more connection.
        if (refusing || server.isClosed()) {
            close(caller);
            return;
        }
        try {
            Socket callee = new Socket(InetAddress.getLoopbackAddress(), target);
            caller.setTcpNoDelay(true);
            callee.setTcpNoDelay(true);
            sockets.add(caller);
            sockets.add(callee);
            run("there", () -> copy(caller, callee, true));
            run("back", () -> copy(callee, caller, false));
        } catch (IOException e) {
            reset(caller);
        }
    }

    private void copy(Socket from, Socket to, boolean there) {
        boolean holed = false;
        byte[] buffer = new byte[BUFFER];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int length = in.read(buffer);
            while (length >= 0) {
                awaitThaw();
                sleep(delayMillis);
                // What comes after a loss would not fit: a real connection delivers nothing beyond it.
                holed |= (there ? silentThere : silentBack) || silent.contains(from);
                if (!holed) {
                    out.write(buffer, 0, length);
                }
                length = in.read(buffer);
            }
            close(to);
            close(from);
        } catch (IOException lost) {
            // Cut on purpose, or reset by one side: the other side sees the same.
            reset(to);
            reset(from);
        }
        sockets.removeAll(List.of(from, to));
        silent.removeAll(List.of(from, to));
    }

    private static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void awaitThaw() {
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
            // Closed already.
        }
        close(socket);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
    }

    /** Stops the path. */
    public void stop() {
        freeze(false);
        try {
            server.close();
        } catch (IOException ignored) {
            // Closed already.
        }
        cut();
    }
}
