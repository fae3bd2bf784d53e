package org.quetzalseam.gateway.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * Records when an endpoint last closed or refused connections, which indicates the end of its process. A connection that was
 * opened later may belong to the next incarnation, which accepts work at the same address before its start is listed. Not
 * thread-safe. Times are monotonic nanoseconds.
 */
final class PeerDisconnects {
    /**
     * How long the start of a process and its listing may take together, in nanoseconds. A disconnect longer ago does not mark
     * the end of the previous incarnation.
     */
    private static final long MAX_LISTING_DELAY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private boolean known;
    private long firstAt;
    private long lastAt;

    /** Records that the endpoint has closed or refused a connection. Disconnects that follow closely count as one. */
    void record(long now) {
        if (!known || now - lastAt > MAX_LISTING_DELAY_NANOS) {
            firstAt = now;
        }
        known = true;
        lastAt = now;
    }

    /** Returns whether a connection was opened after a disconnect that may mark the end of the previous incarnation. */
    boolean precede(long openedAt, long now) {
        return known && now - lastAt <= MAX_LISTING_DELAY_NANOS && openedAt - firstAt > 0;
    }
}
