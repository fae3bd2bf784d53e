package org.quetzalseam.gateway;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;

/** An endpoint whose replies are written byte by byte by a test. */
final class ScriptedEndpoint implements AutoCloseable {
    /** Writes the reply to one request. An exception resets the connection. */
    @FunctionalInterface
    interface Script {
        void reply(Request request, Connection connection) throws IOException;
    }

    /** A request as it came. */
    record Request(String method, String path, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private final ServerSocket listener;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger connections = new AtomicInteger();
    private final List<Request> requests = new CopyOnWriteArrayList<>();
    private final String id;
    private volatile Script script;

    ScriptedEndpoint(String id, Script script) {
        this.id = id;
        this.script = script;
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        threads.execute(this::accept);
    }

    void script(Script next) {
        script = next;
    }

    int connections() {
        return connections.get();
    }

    List<Request> requests() {
        return requests;
    }

    /** Returns the requests that are no control calls. */
    List<Request> runs() {
        return requests.stream()
                .filter(request -> !request.path().startsWith("/control/"))
                .toList();
    }

    Member member(String service, Stage stage) {
        return new Member(id, service, "127.0.0.1", listener.getLocalPort(), "a", 4, false, stage);
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                connections.incrementAndGet();
                threads.execute(() -> serve(new Connection(socket)));
            } catch (IOException expected) {
                return;
            }
        }
    }

    private void serve(Connection connection) {
        try (Socket socket = connection.socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            @Nullable Request request = read(in);
            while (request != null) {
                requests.add(request);
                script.reply(request, connection);
                request = read(in);
            }
        } catch (IOException | RuntimeException expected) {
            connection.reset();
        }
    }

    private static @Nullable Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first.isEmpty()) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        String header = line(in);
        while (!header.isEmpty()) {
            int colon = header.indexOf(':');
            headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).strip());
            header = line(in);
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
        String[] parts = first.split(" ", -1);
        return new Request(parts[0], parts[1], headers, body);
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        while (next >= 0 && next != '\n') {
            if (next != '\r') {
                line.write(next);
            }
            next = in.read();
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        threads.shutdownNow();
    }

    /** A connection that a script writes to. */
    static final class Connection {
        private final Socket socket;

        Connection(Socket socket) {
            this.socket = socket;
        }

        /** Writes text as it stands. */
        void write(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.UTF_8));
            out.flush();
        }

        /** Writes a whole answer of a run, signed and with the request's id. */
        void answer(Request request, String body) throws IOException {
            write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id") + "\r\nx-signature: s\r\nContent-Length: "
                    + body.length() + "\r\n\r\n" + body);
        }

        /** Writes the head of a stream of events. */
        void beginStream(Request request) throws IOException {
            write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id")
                    + "\r\nx-signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void chunk(String text) throws IOException {
            write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }

        void endStream() throws IOException {
            write("0\r\n\r\n");
        }

        /** Tells that the request hasn't run. */
        void reject(Request request) throws IOException {
            write("HTTP/1.1 503 Service Unavailable\r\nx-id: " + request.header("x-id")
                    + "\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n");
        }

        /** Ends the connection in order. */
        void finish() throws IOException {
            socket.shutdownOutput();
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException expected) {
                // The connection is gone already.
            }
        }

        /** Returns when the other side has closed the connection. */
        boolean awaitClosed() throws IOException {
            socket.setSoTimeout(5_000);
            return socket.getInputStream().read() < 0;
        }
    }
}
