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
    private final Set<Connection> unheard = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Leaving notice;

    void opened(Connection connection) {
        long incarnation = connection.peer().incarnation();
        Connection kept = byIncarnation.merge(incarnation, connection, (a, b) -> a.number() > b.number() ? a : b);
        if (kept != connection) {
            connection.close();
        }
        Leaving told = notice;
        if (told != null) {
            tell(connection, told);
        }
    }

    /** Returns whether a message that arrived on the connection is to be taken. */
    boolean current(Connection connection) {
        return byIncarnation.get(connection.peer().incarnation()) == connection;
    }

    void closed(Connection connection) {
        unheard.remove(connection);
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
    void tellLeaving(Leaving leaving) {
        notice = leaving;
        byIncarnation.values().forEach(connection -> tell(connection, leaving));
    }

    private void tell(Connection connection, Leaving leaving) {
        unheard.add(connection);
        if (!connection.send(leaving)) {
            unheard.remove(connection);
        }
    }

    /** Takes note that what an entry sends on a connection from now on it sends knowing that this process leaves. */
    void heard(Connection connection) {
        unheard.remove(connection);
    }

    /** Returns whether each entry that was told has heard that this process leaves, or its connection is closed. */
    boolean allHeard() {
        return unheard.isEmpty();
    }
}
