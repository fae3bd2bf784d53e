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
 * what still arrives on the older one is not taken. Thread-safe.
 */
final class Sessions {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Map<Long, Connection> byIncarnation = new ConcurrentHashMap<>();
    private final Set<Connection> unacknowledged = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Leaving shutdownNotice;

    void opened(Connection connection) {
        long incarnation = connection.peer().incarnation();
        Connection kept = byIncarnation.merge(incarnation, connection, (a, b) -> a.number() > b.number() ? a : b);
        if (kept != connection) {
            connection.close();
        }
        Leaving told = shutdownNotice;
        if (told != null) {
            sendLeaving(connection, told);
        }
    }

    /** Returns whether a message that arrived on the connection is to be taken. */
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

    /** Tells every entry that this process leaves, also those whose connection opens later. */
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

    /** Takes note that what an entry sends on a connection from now on it sends knowing that this process leaves. */
    void shutdownAcknowledged(Connection connection) {
        unacknowledged.remove(connection);
    }

    /** Returns whether each entry that was told has heard that this process leaves, or its connection is closed. */
    boolean allAcknowledgedShutdown() {
        return unacknowledged.isEmpty();
    }
}
