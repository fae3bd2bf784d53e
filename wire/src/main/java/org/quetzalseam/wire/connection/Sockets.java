package org.quetzalseam.wire.connection;

import com.google.common.flogger.FluentLogger;
import java.io.Closeable;
import java.io.IOException;

/** Closes sockets and logs failures to do so. Stateless. */
final class Sockets {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private Sockets() {}

    static void close(Closeable socket) {
        try {
            socket.close();
        } catch (IOException e) {
            logger.atFine().log("event=close-failed reason=%s", e.getMessage());
        }
    }
}
