package org.quetzalseam.gateway.endpoint;

import java.util.concurrent.TimeUnit;

/**
 * When an endpoint's side last ended connections or refused them, which is how the end of its process shows: what was
 * connected later may be with its next life, which takes work at the same address before its start is listed. Used on one
 * thread. Times are monotonic nanoseconds.
 */
final class PeerDisconnects {
    /** How long the start of a process and its listing may take; an ending longer ago isn't that of the life before. */
    private static final long MAX_LISTING_DELAY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private boolean known;
    private long firstAt;
    private long lastAt;

    /** Takes note that the endpoint's side has ended or refused a connection. Those that follow closely count as one. */
    void record(long now) {
        if (!known || now - lastAt > MAX_LISTING_DELAY_NANOS) {
            firstAt = now;
        }
        known = true;
        lastAt = now;
    }

    /** Returns whether a connection was opened after an ending that may be that of the life before {@code now}'s. */
    boolean precede(long openedAt, long now) {
        return known && now - lastAt <= MAX_LISTING_DELAY_NANOS && openedAt - firstAt > 0;
    }
}
