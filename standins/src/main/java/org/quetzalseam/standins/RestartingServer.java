package org.quetzalseam.standins;

import com.sun.net.httpserver.HttpHandler;

/** An HTTP server that can crash: all its connections close, and it starts again at the same address. Thread-safe. */
final class RestartingServer {
    private final HttpHandler handler;
    private final int port;
    private StandInServer server;
    private boolean stopped;

    /** Starts on a free port of the loopback interface. */
    RestartingServer(HttpHandler handler) {
        this.handler = handler;
        this.server = new StandInServer(0, handler);
        this.port = server.port();
    }

    String url() {
        return "http://127.0.0.1:" + port;
    }

    /** Crashes soon, on another thread, because the crash interrupts the threads of the requests that run. */
    void crash(long restartMillis) {
        Thread crash = new Thread(() -> stopAndRestart(restartMillis), "stand-in-crash");
        crash.setDaemon(true);
        crash.start();
    }

    private void stopAndRestart(long restartMillis) {
        synchronized (this) {
            server.stop();
        }
        Pause.millis(restartMillis);
        synchronized (this) {
            if (!stopped) {
                server = new StandInServer(port, handler);
            }
        }
    }

    synchronized void stop() {
        stopped = true;
        server.stop();
    }
}
