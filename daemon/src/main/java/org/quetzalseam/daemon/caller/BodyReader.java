package org.quetzalseam.daemon.caller;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.InputStream;
import java.time.Duration;
import org.quetzalseam.wire.runtime.TimerService;
import org.quetzalseam.wire.runtime.TimerService.Subscription;

/** Reads request bodies within bounds of size and time. Thread-safe. */
final class BodyReader {
    /** Longest body accepted, in bytes. */
    static final int MAX_BYTES = 2 << 20;
    /** How much more is taken before a refusal, so that a caller can't keep an entry busy for nothing. */
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

    /** Returns the body. A body that is too large or too slow is refused. */
    byte[] read(HttpExchange exchange) throws IOException {
        InputStream in = exchange.getRequestBody();
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
        } catch (IOException e) {
            if (limit.finish()) {
                throw new IOException("the body was too slow", e);
            }
            throw CallerException.notRetryable(Statuses.BAD_REQUEST, "bad-body", "the body could not be read");
        } finally {
            limit.finish();
            timer.cancel();
        }
    }

    /** Takes what the caller is still sending: closing a connection with unread bytes would lose the refusal on its way. */
    private static void discardRest(InputStream in) throws IOException {
        byte[] piece = new byte[CHUNK_BYTES];
        long left = MAX_DISCARDED_BYTES;
        int read = in.read(piece);
        while (read >= 0 && left > 0) {
            left -= read;
            read = in.read(piece);
        }
    }

    /** Ends a read that takes too long. Interrupting the reader closes its connection; closing the exchange would wait. */
    private static final class ReadTimeout {
        private final HttpExchange exchange;
        private final Thread reader;
        private boolean finished;
        private boolean interrupted;

        ReadTimeout(HttpExchange exchange, Thread reader) {
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

        /** Ends the watch and returns whether the limit was reached. */
        synchronized boolean finish() {
            finished = true;
            if (interrupted) {
                Thread.interrupted();
            }
            return interrupted;
        }
    }

    private static void sendTooSlow(HttpExchange exchange) {
        try {
            byte[] body = "{\"error\":{\"code\":\"too-slow\",\"outcome\":\"not-run\",\"retry_safe\":true}}"
                    .getBytes(java.nio.charset.StandardCharsets.US_ASCII);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.getResponseHeaders().set("Connection", "close");
            exchange.sendResponseHeaders(Statuses.REQUEST_TIMEOUT, body.length);
            exchange.getResponseBody().write(body);
            exchange.getResponseBody().flush();
        } catch (IOException ignored) {
            // The caller is gone: there is nobody to tell.
        }
    }
}
