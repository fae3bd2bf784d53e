package org.quetzalseam.daemon.http;

import java.time.Duration;
import java.util.function.Consumer;
import org.quetzalseam.http.Descriptors;

/**
 * Bounds the connections of a server. Immutable.
 *
 * @param name name of the limit on connections
 * @param connections most open connections
 * @param closesBusy whether beyond that a connection with a request in progress may be closed for a new one
 * @param unread time after which a connection is closed whose client reads nothing of an answer
 * @param memoryShare part of the heap that the heads and bodies of all requests in progress may take, and as much again for their
 *     answers
 * @param onLimit receives the name of a limit that has been reached
 */
public record ServerLimits(
        String name,
        int connections,
        boolean closesBusy,
        Duration unread,
        double memoryShare,
        Consumer<String> onLimit) {
    /** Most connections by default: as many as requests that a server answers at once. */
    public static final int MOST_CONNECTIONS = 4_000;
    /** Most connections of operators: a few status checks, some that read the metrics, and operators. */
    public static final int OPERATOR_CONNECTIONS = 32;
    /** Part of the process's descriptors that connections may take; back ends, peers and files need the rest. */
    private static final double DESCRIPTORS_SHARE = 0.625;

    private static final Duration CALLERS_UNREAD = Duration.ofSeconds(60);
    private static final Duration OPERATORS_UNREAD = Duration.ofSeconds(10);
    private static final double CALLERS_MEMORY_SHARE = 0.2;
    private static final double OPERATORS_MEMORY_SHARE = 0.05;

    /** Returns the limits of a server of callers. */
    public static ServerLimits ofCallers(int connections, Consumer<String> onLimit) {
        return new ServerLimits(
                "caller-connections", connections, false, CALLERS_UNREAD, CALLERS_MEMORY_SHARE, onLimit);
    }

    /** Returns the limits of a server of operators' pages. */
    public static ServerLimits ofOperators(int connections, Consumer<String> onLimit) {
        return new ServerLimits(
                "operator-connections", connections, true, OPERATORS_UNREAD, OPERATORS_MEMORY_SHARE, onLimit);
    }

    /** Returns how many connections fit into what this process may open. */
    public static int defaultConnections() {
        return (int) Math.max(1, Math.min(MOST_CONNECTIONS, Descriptors.limit() * DESCRIPTORS_SHARE));
    }
}
