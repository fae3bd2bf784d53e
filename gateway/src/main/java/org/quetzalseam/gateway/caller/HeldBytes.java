package org.quetzalseam.gateway.caller;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.http.RequestDecoder;

/** The bytes of a connection that have been received and not decoded, or written and not read. Used on its event loop only. */
final class HeldBytes {
    /** Added to the time without progress when connections are compared by what they hold, so that what has just arrived counts too. */
    private static final long LEAST_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Channel channel;
    private final RequestDecoder decoder;
    private long bytes;
    private long unread;
    /** Bytes of the first unread buffer that the caller has read; the buffer counts whole until the last of them. */
    private long read;

    private long progressAt = System.nanoTime();

    HeldBytes(Channel channel, RequestDecoder decoder) {
        this.channel = channel;
        this.decoder = decoder;
    }

    /** Returns how many there were when they were measured last. */
    long bytes() {
        return bytes;
    }

    /** Measures them. Returns by how many they have changed. */
    long measure() {
        ChannelOutboundBuffer written = channel.unsafe().outboundBuffer();
        long before = bytes;
        long unreadBefore = unread;
        long readBefore = read;
        unread = written == null ? 0 : written.totalPendingWriteBytes();
        read = written == null ? 0 : written.currentProgress();
        bytes = decoder.undecodedBytes() + unread;
        if (unread < unreadBefore || read != readBefore || before == 0) {
            progressAt = System.nanoTime();
        }
        return bytes - before;
    }

    /** Returns how many there were when they were measured last, and regards these as released. */
    long release() {
        long released = bytes;
        bytes = 0;
        return released;
    }

    /** Returns a measure of how much is held for how long. */
    double weight(long now) {
        return (double) bytes * (now - progressAt + LEAST_NANOS);
    }

    /** Returns for how long the caller has read nothing of what is held, in nanoseconds. */
    long withoutProgress(long now) {
        return now - progressAt;
    }

    String describe(long now) {
        return "undecoded=" + (bytes - unread) + " unread=" + unread + " without_progress_ms="
                + TimeUnit.NANOSECONDS.toMillis(withoutProgress(now));
    }
}
