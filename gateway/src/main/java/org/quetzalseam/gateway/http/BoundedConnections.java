package org.quetzalseam.gateway.http;

import com.google.common.flogger.FluentLogger;
import io.netty.channel.Channel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The open connections of one server, at most a certain number. Beyond it, and when it has made no progress for too long, the
 * connection whose last progress lies furthest back is closed. Used on the event loop only.
 */
// A close that fails is reported through the channel's pipeline, where it is handled.
@SuppressWarnings("FutureReturnValueIgnored")
public final class BoundedConnections {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final String limit;
    private final int most;
    private final LimitListener onLimit;
    /** The times of the last progress, in monotonic nanoseconds, oldest first. */
    private final Map<Channel, Long> progress = new LinkedHashMap<>();

    /**
     * Creates a set without connections.
     *
     * @param limit name of the limit
     * @param most most connections
     * @param onLimit is told when a connection is closed for the limit
     */
    public BoundedConnections(String limit, int most, LimitListener onLimit) {
        this.limit = limit;
        this.most = most;
        this.onLimit = onLimit;
    }

    /** Adds a connection, and closes another one if there are too many. */
    public void opened(Channel channel) {
        progress.put(channel, System.nanoTime());
        if (progress.size() > most) {
            Map.Entry<Channel, Long> oldest = progress.entrySet().iterator().next();
            onLimit.reached(limit);
            logger.atInfo().log(
                    "event=connection-closed limit=%s connections=%d most=%d peer=%s without_progress_ms=%d",
                    limit,
                    progress.size(),
                    most,
                    oldest.getKey().remoteAddress(),
                    TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - oldest.getValue()));
            close(oldest.getKey());
        }
    }

    /** Records that a connection has made progress. */
    public void progressed(Channel channel) {
        if (progress.remove(channel) != null) {
            progress.put(channel, System.nanoTime());
        }
    }

    /** Removes a connection that has ended. */
    public void closed(Channel channel) {
        progress.remove(channel);
    }

    /** Closes the connections that have made no progress for so long. */
    public void closeWithoutProgress(long millis) {
        long now = System.nanoTime();
        List<Channel> stalled = new ArrayList<>();
        for (Map.Entry<Channel, Long> connection : progress.entrySet()) {
            if (now - connection.getValue() <= TimeUnit.MILLISECONDS.toNanos(millis)) {
                break;
            }
            stalled.add(connection.getKey());
        }
        for (Channel channel : stalled) {
            logger.atInfo().log(
                    "event=connection-closed limit=%s-time peer=%s without_progress_ms=%d",
                    limit, channel.remoteAddress(), millis);
            onLimit.reached(limit + "-time");
            close(channel);
        }
    }

    private void close(Channel channel) {
        closed(channel);
        channel.close();
    }

    /** Returns how many connections are open. */
    public int count() {
        return progress.size();
    }
}
