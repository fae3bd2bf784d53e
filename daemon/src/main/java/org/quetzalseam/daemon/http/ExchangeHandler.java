package org.quetzalseam.daemon.http;

import java.io.IOException;

/** Answers requests. Implementations are thread-safe. */
@FunctionalInterface
public interface ExchangeHandler {
    /** Answers a request and closes the exchange. An exception closes the connection. */
    void handle(ServerExchange exchange) throws IOException;
}
