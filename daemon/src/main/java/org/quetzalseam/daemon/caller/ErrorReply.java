package org.quetzalseam.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.entry.RequestId;
import org.quetzalseam.daemon.http.ServerExchange;

/**
 * Sends the error response of one exchange and closes the exchange. Once an answer has been started, an error can only be reported
 * within it, so this class then sends nothing. Used by one thread.
 */
final class ErrorReply implements AutoCloseable {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How much of an unread body the server reads after a response in order to keep the connection open. */
    private static final long MAX_DRAINED_BYTES = 64 << 10;

    private final ServerExchange exchange;
    private final RequestId id;

    ErrorReply(ServerExchange exchange, RequestId id) {
        this.exchange = exchange;
        this.id = id;
        exchange.responseHeaders().set("X-Request-Id", id.toString());
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
                .ifPresent(seconds -> exchange.responseHeaders().set("Retry-After", Long.toString(seconds)));
        if (error.status() == Statuses.UNAUTHORIZED) {
            exchange.responseHeaders().set("WWW-Authenticate", "Bearer");
        }
        write(error.status(), body(error, id));
    }

    /** Reports an unexpected failure without disclosing any details. */
    void internal() {
        write(
                Statuses.INTERNAL_ERROR,
                body("internal", "an internal error; see the log of this entry", Outcome.UNKNOWN, false, id));
    }

    /**
     * Returns whether the request's body may be longer than what the server drains after a response. If it is, the server closes the
     * connection, and a caller that has not been informed by a header would send its next request on the closing connection.
     */
    private boolean mayHaveUnreadBody() {
        String length = CallerServer.header(exchange, "Content-Length");
        if (length == null) {
            return CallerServer.header(exchange, "Transfer-Encoding") != null;
        }
        // The server rejects a length that is not a number before it calls a handler.
        return Long.parseLong(length.trim()) > MAX_DRAINED_BYTES;
    }

    private void write(int status, ObjectNode body) {
        if (exchange.status() != ServerExchange.NOT_ANSWERED) {
            return;
        }
        try {
            byte[] bytes = Json.write(body);
            if (mayHaveUnreadBody()) {
                exchange.responseHeaders().set("Connection", "close");
            }
            exchange.responseHeaders().set("Content-Type", "application/json");
            exchange.begin(status, bytes.length);
            exchange.responseBody().write(bytes);
        } catch (IOException e) {
            logger.atFine().log("event=caller-lost request=%s reason=\"%s\"", id, e.getMessage());
        }
    }

    @Override
    public void close() {
        exchange.close();
    }
}
