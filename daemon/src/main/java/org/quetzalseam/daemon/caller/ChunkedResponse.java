package org.quetzalseam.daemon.caller;

import java.io.IOException;
import java.io.OutputStream;
import org.quetzalseam.daemon.http.ServerExchange;

/** A response of unknown length that is started once and written in chunks. Used by one thread. */
final class ChunkedResponse {
    private final ServerExchange exchange;
    private final String contentType;
    private boolean started;

    ChunkedResponse(ServerExchange exchange, String contentType) {
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
        exchange.responseHeaders().set("Content-Type", contentType);
        exchange.responseHeaders().set("Cache-Control", "no-store");
        try {
            exchange.begin(Statuses.OK, ServerExchange.IN_CHUNKS);
            return write(first);
        } catch (IOException e) {
            return false;
        }
    }

    /** Writes and flushes bytes. Returns false when the caller has disconnected. */
    boolean write(byte[] bytes) {
        try {
            OutputStream out = exchange.responseBody();
            out.write(bytes);
            out.flush();
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
