package org.quetzalseam.gateway.endpoint;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.limits.IdleLimit;
import org.quetzalseam.gateway.http.HttpConnection;

/** The connections of one use to an endpoint: how many there are, and those that rest until they are used again. Used on the event loop only. */
final class KeptConnections {
    /**
     * How much earlier than the endpoint this entry gives up an idle connection, in nanoseconds, so that no request is sent while
     * the endpoint closes the connection.
     */
    private static final long IDLE_TIMEOUT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** How long an idle connection is kept when the endpoint does not state its idle timeout, in nanoseconds. */
    private static final long DEFAULT_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private final IdleLimit idleLimit;
    private final Deque<HttpConnection> idle = new ArrayDeque<>();
    private int open;

    /** Creates an empty set; the limit is shared by all connections to the endpoint. */
    KeptConnections(IdleLimit idleLimit) {
        this.idleLimit = idleLimit;
    }

    /** Returns how many connections are open or being opened. */
    int open() {
        return open;
    }

    /** Returns whether a connection is idle; it may have rested for too long. */
    boolean hasIdle() {
        return !idle.isEmpty();
    }

    /** Records that a connection is being opened. */
    void recordOpening() {
        open++;
    }

    /** Records that a connection could not be opened. */
    void recordNotOpened() {
        open--;
    }

    /** Records that a connection was closed. */
    void recordClosed(HttpConnection connection) {
        open--;
        idle.remove(connection);
    }

    /** Keeps an idle connection for later calls. */
    void keep(HttpConnection connection) {
        idle.addFirst(connection);
    }

    /** Takes the connection that has been idle for the shortest time, null if none may be used; closes those that may not. */
    @Nullable
    HttpConnection poll() {
        return poll(connection -> true);
    }

    /** Takes the connection that has been idle for the shortest time of those that have not carried a request with an id. */
    @Nullable
    HttpConnection pollFor(String id) {
        return poll(connection -> !connection.hasCarried(id));
    }

    private @Nullable HttpConnection poll(Predicate<HttpConnection> suitable) {
        long now = System.nanoTime();
        long limitNanos = idleLimit.limitNanos(now);
        for (HttpConnection connection : List.copyOf(idle)) {
            if (!mayBeUsed(connection, limitNanos, now)) {
                idle.remove(connection);
                connection.abort();
            } else if (suitable.test(connection)) {
                idle.remove(connection);
                return connection;
            }
        }
        return null;
    }

    /**
     * Closes the idle connections that may not be used any more, except the one used last. The end of that one shows that the endpoint's
     * process has ended.
     */
    void closeExpired() {
        long now = System.nanoTime();
        long limitNanos = idleLimit.limitNanos(now);
        for (HttpConnection connection : List.copyOf(idle)) {
            if (connection != idle.peekFirst() && !mayBeUsed(connection, limitNanos, now)) {
                idle.remove(connection);
                connection.abort();
            }
        }
    }

    private static boolean mayBeUsed(HttpConnection connection, long limitNanos, long now) {
        return connection.open() && now - connection.idleSince() < Math.min(limitNanos, maxIdleNanos(connection));
    }

    /** Takes a certain connection. Returns whether it was idle and may be used. */
    boolean poll(HttpConnection wanted) {
        return poll(connection -> connection == wanted) == wanted;
    }

    private static long maxIdleNanos(HttpConnection connection) {
        long timeoutNanos = connection.peerIdleTimeoutNanos();
        if (timeoutNanos == Long.MAX_VALUE) {
            return DEFAULT_IDLE_NANOS;
        }
        return Math.max(timeoutNanos - IDLE_TIMEOUT_MARGIN_NANOS, timeoutNanos / 2);
    }

    /** Closes the connection that has been idle for longest, if there is one. */
    void closeLongestIdle() {
        HttpConnection longest = idle.pollLast();
        if (longest != null) {
            longest.abort();
        }
    }

    /** Closes the idle connections; those in use continue. */
    void closeIdle() {
        List.copyOf(idle).forEach(HttpConnection::abort);
        idle.clear();
    }
}
