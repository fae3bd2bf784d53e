package org.quetzalseam.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.access.AccessRules;
import org.quetzalseam.core.fleet.Member;
import org.quetzalseam.core.routing.CallKind;
import org.quetzalseam.core.routing.CallerLimits;
import org.quetzalseam.core.routing.RouteRule;
import org.quetzalseam.core.routing.RouteTable;
import org.quetzalseam.core.routing.ServiceRule;
import org.quetzalseam.core.routing.ServiceShare;
import org.quetzalseam.gateway.dispatch.DispatchSettings;
import org.quetzalseam.gateway.entry.EntryCount;
import org.quetzalseam.gateway.route.EntrySettings;

/** Runs an entry on the loopback address and connects callers to it. */
final class TestEntry implements AutoCloseable {
    /** Longest permitted pause on the route "paced", in milliseconds; a slow engine's prefill fits into it. */
    private static final long MAX_PAUSE_MILLIS = 5_000;

    private static final int TIMEOUT_MILLIS = 10_000;
    /** Window over which retries are counted, in milliseconds. */
    private static final long RETRY_WINDOW_MILLIS = 10_000;
    /** Retries in a window that suffice for any test, even for an entry that has just started. */
    private static final double AMPLE_SLACK = 1e8;

    private final double retryRatio;
    private final double retrySlack;
    private final DispatchSettings dispatch;
    private AccessRules access = AccessRules.OPEN;
    private final EntryProcess process;
    private final ListeningAddresses listening;

    TestEntry() {
        this(1.0, AMPLE_SLACK);
    }

    /**
     * Creates an entry with a retry budget.
     *
     * @param retryRatio retries per request
     * @param retrySlack retries per window in addition, shared by all entries
     */
    TestEntry(double retryRatio, double retrySlack) {
        this(retryRatio, retrySlack, DispatchSettings.OFF);
    }

    /** Creates an entry that takes part in dispatching. */
    TestEntry(DispatchSettings dispatch) {
        this(1.0, AMPLE_SLACK, dispatch);
    }

    private TestEntry(double retryRatio, double retrySlack, DispatchSettings dispatch) {
        this.retryRatio = retryRatio;
        this.retrySlack = retrySlack;
        this.dispatch = dispatch;
        process = new EntryProcess(new TestProtocol(), settings(true));
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        listening = process.start(anyPort, anyPort, anyPort);
    }

    private EntrySettings settings(boolean firstStart) {
        return new EntrySettings(
                "entry-1", "a", retryRatio, retrySlack, RETRY_WINDOW_MILLIS, 1, 2, 0.25, firstStart, dispatch);
    }

    /** Reloads the settings with a change that does not concern the retry budget. */
    void reloadSettings() {
        runOnEventLoop(() -> process.router().update(settings(false)));
    }

    /** Waits until the entry has its full share of the retry budget's slack. */
    void awaitFullSlack() {
        try {
            TimeUnit.MILLISECONDS.sleep(RETRY_WINDOW_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    InetSocketAddress address() {
        return listening.callers();
    }

    ListeningAddresses listening() {
        return listening;
    }

    EntryProcess process() {
        return process;
    }

    /**
     * Puts the routes in force: {@code /once/} (not idempotent), {@code /many/} (idempotent, public), and the streams
     * {@code /stream/}, {@code /resumable/} and {@code /paced/} (with a limit on pauses).
     */
    void updateRoutes(long timeoutMillis) {
        updateRoutes(timeoutMillis, 100);
    }

    /** Puts the routes in force, with a limit on the connections that an endpoint accepts from all entries together. */
    void updateRoutes(long timeoutMillis, int maxConnections) {
        updateRoutes(1, timeoutMillis, maxConnections);
    }

    /** Puts the routes in force as the given version. */
    void updateRoutesToVersion(long version, long timeoutMillis) {
        updateRoutes(version, timeoutMillis, 100);
    }

    private void updateRoutes(long version, long timeoutMillis, int maxConnections) {
        List<RouteRule> rules = new ArrayList<>();
        rules.add(rule("once", CallKind.NON_IDEMPOTENT, false, timeoutMillis, 0));
        rules.add(rule("many", CallKind.IDEMPOTENT, false, timeoutMillis, 0));
        rules.add(rule("stream", CallKind.STREAM, false, timeoutMillis, 0));
        rules.add(rule("resumable", CallKind.STREAM, true, timeoutMillis, 0));
        rules.add(rule("paced", CallKind.STREAM, false, timeoutMillis, MAX_PAUSE_MILLIS));
        RouteTable table = new RouteTable(
                version, rules, List.of(new ServiceRule("s", maxConnections)), CallerLimits.DEFAULT, access);
        runOnEventLoop(() -> process.router().update(table));
    }

    /** Sets the teams of the next version, and lets this entry accrue all of their allowances. */
    void useTeams(AccessRules.Grant... teams) {
        access = AccessRules.of(List.of(teams));
        runOnEventLoop(() -> process.allowances().part(1));
    }

    private static RouteRule rule(String name, CallKind kind, boolean resumable, long timeoutMillis, long pauseMillis) {
        return new RouteRule(
                name,
                "h",
                "/" + name + "/",
                kind,
                List.of(new ServiceShare("s", 1)),
                2,
                timeoutMillis,
                2_000,
                pauseMillis,
                8_000,
                0,
                resumable,
                name.equals("many"));
    }

    void updateEndpoints(Member... members) {
        runOnEventLoop(() -> {
            process.directory().update(List.of(members));
            process.router().routeEarlyRequests();
        });
    }

    void updateEntryCount(int count) {
        runOnEventLoop(() -> process.router().entries(new EntryCount(count, 0)));
    }

    private void runOnEventLoop(Runnable call) {
        CountDownLatch done = new CountDownLatch(1);
        process.timers().soon(() -> {
            call.run();
            done.countDown();
        });
        try {
            done.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    Caller caller() {
        return new Caller(address());
    }

    /** Sends one request on a new connection and returns everything received until the connection ends. */
    String ask(String path, String id, String... headers) {
        try (Caller caller = caller()) {
            String[] closing = new String[headers.length + 1];
            System.arraycopy(headers, 0, closing, 0, headers.length);
            closing[headers.length] = "Connection: close";
            caller.send(path, id, closing);
            return caller.readAll();
        }
    }

    @Override
    public void close() {
        process.stop();
    }

    /** A caller's connection, which is read as bytes. */
    static final class Caller implements AutoCloseable {
        private final Socket socket;

        Caller(InetSocketAddress address) {
            try {
                socket = new Socket(address.getAddress(), address.getPort());
                socket.setSoTimeout(TIMEOUT_MILLIS);
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        void send(String path, String id, String... headers) {
            StringBuilder text = new StringBuilder("POST " + path + " HTTP/1.1\r\nHost: h\r\nx-id: " + id + "\r\n");
            for (String header : headers) {
                text.append(header).append("\r\n");
            }
            write(text + "Content-Length: 2\r\n\r\nhi");
        }

        void write(String text) {
            try {
                socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }

        /**
         * Reads until the given text or the end of the connection, and returns what was read, followed by
         * {@code [reset]} after an I/O error.
         */
        String readUntil(String end) {
            ByteArrayOutputStream received = new ByteArrayOutputStream();
            try {
                InputStream in = socket.getInputStream();
                int next = in.read();
                while (next >= 0) {
                    received.write(next);
                    if (received.toString(StandardCharsets.UTF_8).endsWith(end)) {
                        break;
                    }
                    next = in.read();
                }
            } catch (IOException e) {
                received.writeBytes(" [reset]".getBytes(StandardCharsets.UTF_8));
            }
            return received.toString(StandardCharsets.UTF_8);
        }

        String readAll() {
            return readUntil("\0");
        }

        /** Reads until the connection ends, in order or with a reset, and returns the number of bytes read. */
        long readToEnd() {
            byte[] block = new byte[64 * 1024];
            long bytes = 0;
            try {
                int read = socket.getInputStream().read(block);
                while (read >= 0) {
                    bytes += read;
                    read = socket.getInputStream().read(block);
                }
            } catch (IOException reset) {
                // What was read before counts.
            }
            return bytes;
        }

        @Override
        public void close() {
            try {
                socket.close();
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        }
    }
}
