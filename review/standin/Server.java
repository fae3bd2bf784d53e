import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;

/** Accepts connections on a free port of the loopback address, with one thread for each. */
class Server {
    /** Answers the requests of one connection. */
    interface Handler {
        void handle(Http.Head head, InputStream in, Socket socket) throws IOException;
    }

    private final ServerSocket listener;
    private final Handler handler;
    private final java.util.Set<Socket> open = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Server(Handler handler) throws IOException {
        this(handler, 0);
    }

    /** Creates a server; {@code receiveBuffer} is the size of its sockets' receive buffers in bytes, 0 for the usual one. */
    Server(Handler handler, int receiveBuffer) throws IOException {
        this.handler = handler;
        listener = new ServerSocket();
        if (receiveBuffer > 0) {
            listener.setReceiveBufferSize(receiveBuffer);
        }
        listener.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 1024);
        daemon(this::accept);
    }

    static void daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    String address() {
        return "127.0.0.1:" + port();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        open.add(socket);
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (Http.Head head = Http.head(in); head != null && !socket.isClosed(); head = Http.head(in)) {
                handler.handle(head, in, socket);
                if (socket.isClosed()) {
                    return;
                }
            }
        } catch (SocketException e) {
            // The other side has closed or reset the connection.
        } catch (IOException e) {
            // The other side has closed the connection within a message.
        } finally {
            open.remove(socket);
        }
    }

    /** Closes a connection so that the other side sees a reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Resets all open connections. */
    void resetAll() throws IOException {
        for (Socket socket : open) {
            reset(socket);
        }
    }

    void close() throws IOException {
        listener.close();
    }
}
