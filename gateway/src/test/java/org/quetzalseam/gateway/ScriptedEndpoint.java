package org.quetzalseam.gateway;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.fleet.Stage;
import org.quetzalseam.standins.raw.RawConnection;
import org.quetzalseam.standins.raw.RawRequest;
import org.quetzalseam.standins.raw.RawServer;

/** An endpoint whose replies a test writes byte by byte. */
final class ScriptedEndpoint implements AutoCloseable {
    /** Writes the reply to one request; an exception resets the connection. */
    @FunctionalInterface
    interface Script {
        void reply(RawRequest request, Connection connection) throws IOException;
    }

    private static final long FIRST_START_MILLIS = 1_000;

    private final RawServer server;
    private final Map<RawConnection, Connection> connections = new ConcurrentHashMap<>();
    private final List<RawRequest> requests = new CopyOnWriteArrayList<>();
    private final String id;
    private volatile Script script;

    ScriptedEndpoint(String id, Script script) {
        this.id = id;
        this.script = script;
        this.server = new RawServer(this::serve);
    }

    private void serve(RawRequest request, RawConnection connection) throws IOException {
        requests.add(request);
        script.reply(request, connections.computeIfAbsent(connection, Connection::new));
    }

    void script(Script next) {
        script = next;
    }

    int connections() {
        return server.connections();
    }

    /** Returns the number of connections that are open now. */
    int openConnections() {
        return server.openConnections();
    }

    List<RawRequest> requests() {
        return requests;
    }

    /** Returns the requests that are not control calls. */
    List<RawRequest> runs() {
        return requests.stream()
                .filter(request -> !request.path().startsWith("/control/"))
                .toList();
    }

    Member member(String service, Stage stage) {
        return member(service, stage, FIRST_START_MILLIS);
    }

    /** Returns the registration of an incarnation that started at the given time. */
    Member member(String service, Stage stage, long startMillis) {
        return member(service, stage, startMillis, "v1");
    }

    /** Returns the registration of an incarnation with a build. */
    Member member(String service, Stage stage, long startMillis, String build) {
        return new Member(id, startMillis, service, "127.0.0.1", server.port(), "a", 4, false, stage, build);
    }

    /** Returns the registration of an endpoint that accepts no new work. */
    Member drainingMember(String service, Stage stage) {
        return new Member(id, FIRST_START_MILLIS, service, "127.0.0.1", server.port(), "a", 4, true, stage, "v1");
    }

    @Override
    public void close() {
        server.close();
    }

    /** A connection that a script writes to, in the format of {@link TestProtocol}. */
    static final class Connection {
        /** Time that a test waits for the entry to close a connection, in milliseconds. */
        private static final int CLOSE_TIMEOUT_MILLIS = 5_000;

        private final RawConnection raw;

        Connection(RawConnection raw) {
            this.raw = raw;
        }

        /** Writes text unchanged. */
        void write(String text) throws IOException {
            raw.write(text);
        }

        /** Writes the complete, signed answer to a request, with the request's id. */
        void answer(RawRequest request, String body) throws IOException {
            raw.reply(200, body, "x-id: " + request.header("x-id"), "x-signature: s");
        }

        /** Writes the response head of an event stream. */
        void beginStream(RawRequest request) throws IOException {
            write("HTTP/1.1 200 OK\r\nx-id: " + request.header("x-id")
                    + "\r\nx-signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        }

        void chunk(String text) throws IOException {
            raw.chunk(text);
        }

        void endStream() throws IOException {
            raw.endChunks();
        }

        /** Rejects the request and states that it has not run. */
        void reject(RawRequest request) throws IOException {
            raw.reply(503, "", "x-id: " + request.header("x-id"), "x-not-run: 1");
        }

        /** Closes the connection in order, without a reset. */
        void finish() throws IOException {
            raw.finish();
        }

        void reset() {
            raw.reset();
        }

        /** Waits until the peer closes the connection. */
        boolean awaitClosed() throws IOException {
            return raw.awaitClosed(CLOSE_TIMEOUT_MILLIS);
        }
    }
}
