package org.quetzalseam.wire.connection;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.GeneralSecurityException;
import java.security.KeyStore;
import java.time.Duration;
import javax.net.ServerSocketFactory;
import javax.net.SocketFactory;
import javax.net.ssl.KeyManagerFactory;
import javax.net.ssl.SSLContext;
import javax.net.ssl.SSLServerSocket;
import javax.net.ssl.TrustManagerFactory;
import org.quetzalseam.wire.WireException;
import org.quetzalseam.wire.WireException.Code;

/**
 * Creates the sockets between processes: plain TCP, or TLS in which both sides check the certificate of the other.
 * Immutable and thread-safe.
 */
public final class Transport {
    private static final int BACKLOG = 512;

    private final SocketFactory sockets;
    private final ServerSocketFactory serverSockets;

    private Transport(SocketFactory sockets, ServerSocketFactory serverSockets) {
        this.sockets = sockets;
        this.serverSockets = serverSockets;
    }

    /** Returns the transport over plain TCP. */
    public static Transport plain() {
        return new Transport(SocketFactory.getDefault(), ServerSocketFactory.getDefault());
    }

    /** Returns the transport over TLS with the key and the trusted certificates of a PKCS #12 file. */
    public static Transport tls(Path keyStore, String password) {
        try (InputStream in = Files.newInputStream(keyStore)) {
            KeyStore store = KeyStore.getInstance("PKCS12");
            store.load(in, password.toCharArray());
            KeyManagerFactory keys = KeyManagerFactory.getInstance(KeyManagerFactory.getDefaultAlgorithm());
            keys.init(store, password.toCharArray());
            TrustManagerFactory trust = TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
            trust.init(store);
            SSLContext context = SSLContext.getInstance("TLSv1.3");
            context.init(keys.getKeyManagers(), trust.getTrustManagers(), null);
            return new Transport(context.getSocketFactory(), context.getServerSocketFactory());
        } catch (IOException | GeneralSecurityException e) {
            throw new WireException(
                    Code.NOT_AUTHENTIC, "key store " + keyStore + " cannot be used: " + e.getMessage(), e);
        }
    }

    Socket connect(String host, int port, Duration timeout) throws IOException {
        Socket socket = sockets.createSocket();
        try {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) timeout.toMillis());
            socket.connect(new InetSocketAddress(host, port), (int) timeout.toMillis());
            return socket;
        } catch (IOException | RuntimeException e) {
            Sockets.close(socket);
            throw e;
        }
    }

    ServerSocket listen(String host, int port) throws IOException {
        ServerSocket server = serverSockets.createServerSocket();
        if (server instanceof SSLServerSocket secure) {
            secure.setNeedClientAuth(true);
        }
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(host, port), BACKLOG);
        return server;
    }
}
