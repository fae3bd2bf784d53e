package org.quetzalseam.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** When a connection was opened, used and idle, and how long its other side keeps it idle. Times are monotonic nanoseconds. */
final class ExchangeTimes {
    private static final String TIMEOUT = "timeout=";

    private long openedAt;
    private long sentAt;
    private long idleSince;
    private long idleNanosBeforeRequest;
    private long peerIdleTimeoutNanos = Long.MAX_VALUE;
    private int exchanges;

    void recordOpened() {
        openedAt = System.nanoTime();
    }

    void recordSent() {
        sentAt = System.nanoTime();
        idleNanosBeforeRequest = idleSince == 0 ? 0 : sentAt - idleSince;
        exchanges++;
    }

    void recordIdle() {
        idleSince = System.nanoTime();
    }

    /** Records what a reply states about the time for which its sender keeps an idle connection. */
    void recordHead(HttpResponse reply) {
        @Nullable String keepAlive = reply.headers().get("Keep-Alive");
        int at = keepAlive == null ? -1 : keepAlive.indexOf(TIMEOUT);
        if (keepAlive == null || at < 0) {
            return;
        }
        long seconds = 0;
        for (int end = at + TIMEOUT.length();
                end < keepAlive.length() && Character.isDigit(keepAlive.charAt(end));
                end++) {
            seconds = seconds * 10 + (keepAlive.charAt(end) - '0');
        }
        peerIdleTimeoutNanos = TimeUnit.SECONDS.toNanos(seconds);
    }

    long openedAt() {
        return openedAt;
    }

    long idleSince() {
        return idleSince;
    }

    /** Returns how long the connection was idle before the latest request; 0 for its first one. */
    long idleNanosBeforeRequest() {
        return idleNanosBeforeRequest;
    }

    /** Returns how long the other side keeps the connection idle, or {@link Long#MAX_VALUE} if it has not stated it. */
    long peerIdleTimeoutNanos() {
        return peerIdleTimeoutNanos;
    }

    /** Returns whether the connection has carried an exchange before the latest one. */
    boolean usedBefore() {
        return exchanges > 1;
    }

    /** Returns the inputs that tell a repeated reply from one that is malformed by itself. */
    String describe() {
        return String.format(
                "exchange=%d rested_ms=%d took_us=%d",
                exchanges,
                TimeUnit.NANOSECONDS.toMillis(idleNanosBeforeRequest),
                TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - sentAt));
    }
}
