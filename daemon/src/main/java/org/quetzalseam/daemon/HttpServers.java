package org.quetzalseam.daemon;

import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import org.quetzalseam.daemon.DaemonException.Code;

/** Creates JDK HTTP servers, all with the same configuration. Stateless. */
public final class HttpServers {
    private static final int BACKLOG = 1024;

    static {
        // The JDK's server reads these properties once, when its classes are loaded.
        System.setProperty("sun.net.httpserver.nodelay", "true");
        System.setProperty("sun.net.httpserver.maxReqTime", "60");
        System.setProperty("sun.net.httpserver.maxReqHeaders", "100");
        System.setProperty("sun.net.httpserver.maxIdleConnections", "4096");
    }

    private HttpServers() {}

    /** Returns a server that listens, but answers only after it is started. Port 0 selects any free port. */
    public static HttpServer create(String host, int port, Executor executor) {
        try {
            HttpServer server = HttpServer.create(new InetSocketAddress(host, port), BACKLOG);
            server.setExecutor(executor);
            return server;
        } catch (IOException e) {
            throw new DaemonException(Code.CANNOT_LISTEN, host + ":" + port + ": " + e.getMessage(), e);
        }
    }
}
