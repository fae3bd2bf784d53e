package org.quetzalseam.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.entry.RequestId;

/**
 * The error answers of one exchange, and its end. Once the answer has begun, an error can only be told within it, so this
 * class then says nothing more. Used by one thread.
 */
final class ErrorReply implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int NOT_COMMITTED = -1;
    /** How much of an unread body the JDK's server takes after an answer to keep the connection. */
    private static final long MAX_DRAINED_BYTES = 64 << 10;

    private final HttpExchange exchange;
    private final RequestId id;

    ErrorReply(HttpExchange exchange, RequestId id) {
        this.exchange = exchange;
        this.id = id;
        exchange.getResponseHeaders().set("X-Request-Id", id.toString());
    }

    static ObjectNode body(CallerException error, RequestId id) {
        return body(error.code(), String.valueOf(error.getMessage()), error.outcome(), error.retrySafe(), id);
    }

    private static ObjectNode body(String code, String message, Outcome outcome, boolean retrySafe, RequestId id) {
        ObjectNode body = Json.object();
        body.putObject("error")
                .put("code", code)
                .put("message", message)
                .put("outcome", outcome.label())
                .put("retry_safe", retrySafe)
                .put("request_id", id.toString());
        return body;
    }

    void send(CallerException error) {
        logger.atInfo().log(
                "event=request-refused request=%s status=%d code=%s outcome=%s",
                id, error.status(), error.code(), error.outcome().label());
        error.retryAfterSeconds()
                .ifPresent(seconds -> exchange.getResponseHeaders().set("Retry-After", Long.toString(seconds)));
        if (error.status() == Statuses.UNAUTHORIZED) {
            exchange.getResponseHeaders().set("WWW-Authenticate", "Bearer");
        }
        write(error.status(), body(error, id));
    }

    /** Says that something unforeseen happened, and nothing of what it was. */
    void internal() {
        write(
                Statuses.INTERNAL_ERROR,
                body("internal", "an internal error; see the log of this entry", Outcome.UNKNOWN, false, id));
    }

    /**
     * Returns whether the request's body may be longer than what the server reads of it after an answer. It then closes the
     * connection, and a caller that isn't told so sends its next request into the closing.
     */
    private boolean mayHaveUnreadBody() {
        String length = CallerServer.header(exchange, "Content-Length");
        if (length == null) {
            return CallerServer.header(exchange, "Transfer-Encoding") != null;
        }
        // The server refuses a length that is no number before it hands a request over.
        return Long.parseLong(length.trim()) > MAX_DRAINED_BYTES;
    }

    private void write(int status, ObjectNode body) {
        if (exchange.getResponseCode() != NOT_COMMITTED) {
            return;
        }
        try {
            byte[] bytes = Json.write(body);
            if (mayHaveUnreadBody()) {
                exchange.getResponseHeaders().set("Connection", "close");
            }
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(status, bytes.length);
            exchange.getResponseBody().write(bytes);
        } catch (IOException e) {
            logger.atFine().log("event=caller-lost request=%s reason=\"%s\"", id, e.getMessage());
        }
    }

    @Override
    public void close() {
        exchange.close();
    }
}
