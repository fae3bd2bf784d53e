package org.quetzalseam.daemon.endpoint;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.wire.connection.Connection;
import org.quetzalseam.wire.message.Leaving;
import org.quetzalseam.wire.message.Message;

/**
 * The current connection of each entry process. A newer connection of the same incarnation replaces the older one, and
 * messages that still arrive on the older one are ignored. Thread-safe.
 */
final class Sessions {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Map<Long, Connection> byIncarnation = new ConcurrentHashMap<>();
    private final Set<Connection> unacknowledged = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Leaving shutdownNotice;

    void opened(Connection connection) {
        long incarnation = connection.peer().incarnation();
        Connection current = byIncarnation.merge(incarnation, connection, (a, b) -> a.number() > b.number() ? a : b);
        if (current != connection) {
            connection.close();
        }
        Leaving announced = shutdownNotice;
        if (announced != null) {
            sendLeaving(connection, announced);
        }
    }

    /** Returns whether the connection is the current one of its peer, so that messages on it are to be handled. */
    boolean isCurrent(Connection connection) {
        return byIncarnation.get(connection.peer().incarnation()) == connection;
    }

    void closed(Connection connection) {
        unacknowledged.remove(connection);
        byIncarnation.remove(connection.peer().incarnation(), connection);
    }

    void send(long incarnation, Message message) {
        Connection connection = byIncarnation.get(incarnation);
        if (connection == null || !connection.send(message)) {
            logger.atFine().log(
                    "event=reply-not-sent type=%s", message.getClass().getSimpleName());
        }
    }

    /** Sends a message to every entry that is connected. */
    void sendToAll(Message message) {
        byIncarnation.values().forEach(connection -> connection.send(message));
    }

    /** Notifies every entry that this process is shutting down, including those whose connection opens later. */
    void announceShutdown(Leaving leaving) {
        shutdownNotice = leaving;
        byIncarnation.values().forEach(connection -> sendLeaving(connection, leaving));
    }

    private void sendLeaving(Connection connection, Leaving leaving) {
        unacknowledged.add(connection);
        if (!connection.send(leaving)) {
            unacknowledged.remove(connection);
        }
    }

    /**
     * Records that the entry on a connection has acknowledged the shutdown, so that it sends no new work on it any
     * more.
     */
    void shutdownAcknowledged(Connection connection) {
        unacknowledged.remove(connection);
    }

    /** Returns whether every notified entry has acknowledged the shutdown, or its connection is closed. */
    boolean allAcknowledgedShutdown() {
        return unacknowledged.isEmpty();
    }
}
