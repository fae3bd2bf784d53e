package org.quetzalseam.daemon.caller;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;

/** A response of unknown length that is started once and written in chunks. Used by one thread. */
final class ChunkedResponse {
    private final HttpExchange exchange;
    private final String contentType;
    private boolean started;

    ChunkedResponse(HttpExchange exchange, String contentType) {
        this.exchange = exchange;
        this.contentType = contentType;
    }

    boolean isStarted() {
        return started;
    }

    /** Sends the status, the headers and the first bytes, unless done already. Returns false when the caller has disconnected. */
    boolean start(byte[] first) {
        if (started) {
            return true;
        }
        started = true;
        exchange.getResponseHeaders().set("Content-Type", contentType);
        exchange.getResponseHeaders().set("Cache-Control", "no-store");
        try {
            exchange.sendResponseHeaders(Statuses.OK, 0);
            return write(first);
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes and flushes bytes. Returns false when the caller has disconnected. */
    boolean write(byte[] bytes) {
        try {
            OutputStream out = exchange.getResponseBody();
            out.write(bytes);
            out.flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
