package org.quetzalseam.gateway.caller;

import com.google.common.flogger.FluentLogger;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.quetzalseam.gateway.http.ConnectionLimits;
import org.quetzalseam.gateway.http.LimitListener;

/**
 * The open connections of callers. It bounds their number and what they hold together: bytes that have been received and not decoded,
 * and answers that have been written and not read. Used on the event loop only.
 */
final class CallerConnections {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Set<CallerConnection> open = new HashSet<>();
    private final ConnectionLimits limits;
    private final LimitListener onLimit;
    private long held;

    CallerConnections(ConnectionLimits limits, LimitListener onLimit) {
        this.limits = limits;
        this.onLimit = onLimit;
    }

    /** Returns the connections that are open now. */
    List<CallerConnection> all() {
        return List.copyOf(open);
    }

    int count() {
        return open.size();
    }

    int arriving() {
        return (int) open.stream().filter(CallerConnection::receiving).count();
    }

    long held() {
        return held;
    }

    /** Adds a connection. Beyond the limit, the one that has been without a whole request for longest is closed. */
    void opened(CallerConnection connection) {
        open.add(connection);
        if (open.size() <= limits.callers()) {
            return;
        }
        CallerConnection closed = open.stream()
                .filter(candidate -> !candidate.busy())
                .min(Comparator.comparingLong(CallerConnection::idleSince))
                .orElse(connection);
        logger.atInfo().log(
                "event=connection-closed limit=caller-connections connections=%d most=%d idle_ms=%d receiving=%s",
                open.size(), limits.callers(), closed.idleMillis(), closed.receiving());
        close(closed, "caller-connections");
    }

    void closed(CallerConnection connection) {
        open.remove(connection);
        held -= connection.held().release();
    }

    /** Measures what a connection holds. If all hold more than the limit by that, the worst ones are closed. */
    void measure(CallerConnection connection) {
        long change = connection.held().measure();
        held += change;
        if (change > 0 && held > limits.heldBytes()) {
            open.forEach(other -> held += other.held().measure());
            while (held > limits.heldBytes() && closeWorst()) {
                // One connection less in each round.
            }
        }
    }

    /** Closes the connection that holds much for long. Returns whether there was one. */
    private boolean closeWorst() {
        long now = System.nanoTime();
        Optional<CallerConnection> worst = open.stream()
                .filter(connection -> connection.held().bytes() > 0)
                .max(Comparator.comparingDouble(connection -> connection.held().weight(now)));
        worst.ifPresent(connection -> {
            logger.atInfo().log(
                    "event=connection-closed limit=held-bytes %s all_held=%d most=%d connections=%d",
                    connection.held().describe(now), held, limits.heldBytes(), open.size());
            close(connection, "held-bytes");
        });
        return worst.isPresent();
    }

    private void close(CallerConnection connection, String limit) {
        onLimit.reached(limit);
        closed(connection);
        connection.close();
    }
}
