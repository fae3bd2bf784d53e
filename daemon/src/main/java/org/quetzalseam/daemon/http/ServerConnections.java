package org.quetzalseam.daemon.http;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** The open connections of a server, whose number it bounds. Thread-safe. */
final class ServerConnections {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Set<ServerConnection> open = ConcurrentHashMap.newKeySet();
    private final ServerLimits limits;

    ServerConnections(ServerLimits limits) {
        this.limits = limits;
    }

    /** Adds a connection. Beyond the limit, the one whose last answer was read longest ago is closed. */
    void opened(ServerConnection connection) {
        open.add(connection);
        if (open.size() <= limits.connections()) {
            return;
        }
        ServerConnection closed = open.stream()
                .filter(candidate -> limits.closesBusy() || !candidate.busy())
                .min(Comparator.comparingLong(ServerConnection::progressAt))
                .orElse(connection);
        logger.atInfo().log(
                "event=connection-closed limit=%s connections=%d most=%d busy=%s without_progress_ms=%d",
                limits.name(),
                open.size(),
                limits.connections(),
                closed.busy(),
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - closed.progressAt()));
        limits.onLimit().accept(limits.name());
        closed(closed);
        closed.close();
    }

    void closed(ServerConnection connection) {
        open.remove(connection);
    }
}
