package org.quetzalseam.daemon.caller;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import org.quetzalseam.daemon.http.NoMemoryException;
import org.quetzalseam.daemon.http.ServerExchange;
import org.quetzalseam.wire.runtime.TimerService;
import org.quetzalseam.wire.runtime.TimerService.Subscription;

/** Reads request bodies within limits of size and time. Thread-safe. */
final class BodyReader {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Size of the longest accepted body, in bytes. */
    static final int MAX_BYTES = 2 << 20;
    /** Limit of what is read and discarded of a body that is too large, so that a caller cannot keep an entry busy without end. */
    private static final long MAX_DISCARDED_BYTES = 8L * MAX_BYTES;

    private static final int CHUNK_BYTES = 1 << 16;

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    private final TimerService timers;

    private final Duration timeout;

    BodyReader(TimerService timers) {
        this(timers, DEFAULT_TIMEOUT);
    }

    BodyReader(TimerService timers, Duration time) {
        this.timers = timers;
        this.timeout = time;
    }

    /** Returns the body, or refuses one that is too large or arrives too slowly. */
    byte[] read(ServerExchange exchange) throws IOException {
        InputStream in = exchange.requestBody();
        ReadTimeout limit = new ReadTimeout(exchange, Thread.currentThread());
        Subscription timer = timers.after(timeout, limit::expire);
        try {
            byte[] body = in.readNBytes(MAX_BYTES + 1);
            if (body.length > MAX_BYTES) {
                discardRest(in);
                throw CallerException.notRetryable(
                        Statuses.CONTENT_TOO_LARGE, "too-large", "the body is longer than " + MAX_BYTES + " bytes");
            }
            return body;
        } catch (NoMemoryException e) {
            logger.atInfo().log("event=body-refused limit=request-memory reason=\"%s\"", e.getMessage());
            throw CallerException.retryable(
                    Statuses.UNAVAILABLE, "no-memory", "the requests in progress use the memory for bodies", 1_000);
        } catch (IOException e) {
            if (limit.finish()) {
                throw new IOException("the body did not arrive in time", e);
            }
            throw CallerException.notRetryable(Statuses.BAD_REQUEST, "bad-body", "the body could not be read");
        } finally {
            limit.finish();
            timer.cancel();
        }
    }

    /** Reads what the caller is still sending, because closing a connection with unread bytes may discard the error response in transit. */
    private static void discardRest(InputStream in) throws IOException {
        byte[] chunk = new byte[CHUNK_BYTES];
        long remaining = MAX_DISCARDED_BYTES;
        int read = in.read(chunk);
        while (read >= 0 && remaining > 0) {
            remaining -= read;
            read = in.read(chunk);
        }
    }

    /** Ends a read that takes too long by interrupting its thread; closing the exchange would wait for the rest of the body. */
    private static final class ReadTimeout {
        private final ServerExchange exchange;
        private final Thread reader;
        private boolean finished;
        private boolean interrupted;

        ReadTimeout(ServerExchange exchange, Thread reader) {
            this.exchange = exchange;
            this.reader = reader;
        }

        synchronized void expire() {
            if (!finished) {
                sendTooSlow(exchange);
                interrupted = true;
                reader.interrupt();
            }
        }

        /** Ends the timeout and returns whether it has expired. Clears the interrupt that it caused. */
        synchronized boolean finish() {
            finished = true;
            if (interrupted) {
                Thread.interrupted();
            }
            return interrupted;
        }
    }

    private static void sendTooSlow(ServerExchange exchange) {
        try {
            byte[] body = "{\"error\":{\"code\":\"too-slow\",\"outcome\":\"not-run\",\"retry_safe\":true}}"
                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII);
            exchange.responseHeaders().set("Content-Type", "application/json");
            exchange.responseHeaders().set("Connection", "close");
            exchange.begin(Statuses.REQUEST_TIMEOUT, body.length);
            exchange.responseBody().write(body);
            exchange.responseBody().flush();
        } catch (IOException ignored) {
            // The caller has disconnected, so the error cannot be delivered.
        }
    }
}
