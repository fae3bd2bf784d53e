package org.quetzalseam.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import org.jspecify.annotations.Nullable;

/**
 * Bounds what one exchange may bring: the body that is kept, and what is skipped because it is not the reply. Used on the event loop
 * only.
 */
final class ReplyBounds {
    /** Largest number of heads that are skipped before the reply: interim ones, and those of replies to other requests. */
    private static final int MAX_SKIPPED_HEADS = 16;
    /** Most bytes of skipped bodies. */
    private static final long MAX_SKIPPED_BYTES = 1024 * 1024;

    private final ReplyMemory memory;
    private int skippedHeads;
    private long skippedBytes;
    private long maxBytes = Long.MAX_VALUE;
    private long bytes;
    private long taken;
    private boolean tooLong;

    ReplyBounds(ReplyMemory memory) {
        this.memory = memory;
    }

    /** Begins another exchange. */
    void begin() {
        end();
        skippedHeads = 0;
        skippedBytes = 0;
        maxBytes = Long.MAX_VALUE;
        bytes = 0;
        tooLong = false;
    }

    /** Ends the exchange: what it kept belongs to the receiver of the reply. */
    void end() {
        memory.giveBack(taken);
        taken = 0;
    }

    /** Records a head that is skipped. Returns what is wrong if there have been too many, else null. */
    @Nullable
    String skipHead() {
        skippedHeads++;
        return skippedHeads > MAX_SKIPPED_HEADS ? "more than " + MAX_SKIPPED_HEADS + " heads before the reply" : null;
    }

    /** Records a part of a body that is skipped. Returns what is wrong if it has been too much, else null. */
    @Nullable
    String skipBody(int partBytes) {
        skippedBytes += partBytes;
        return skippedBytes > MAX_SKIPPED_BYTES ? "more than " + MAX_SKIPPED_BYTES + " bytes before the reply" : null;
    }

    /** Records the head of the reply. Returns what is wrong if the body that it states is too long, else null. */
    @Nullable
    String head(HttpResponse head, long maxBodyBytes) {
        maxBytes = maxBodyBytes;
        return HttpUtil.getContentLength(head, 0L) > maxBytes ? describeTooLong() : null;
    }

    /** Records a part of the reply's body. Returns what is wrong if it can't be kept, else null. */
    @Nullable
    String body(int partBytes) {
        bytes += partBytes;
        if (maxBytes == Long.MAX_VALUE) {
            return null;
        }
        if (bytes > maxBytes) {
            return describeTooLong();
        }
        if (!memory.take(partBytes)) {
            return "no memory for the body, as other replies use " + memory.used() + " bytes";
        }
        taken += partBytes;
        return null;
    }

    /** Returns whether the body of the reply is longer than the caller takes. */
    boolean tooLong() {
        return tooLong;
    }

    private String describeTooLong() {
        tooLong = true;
        return "the body is longer than " + maxBytes + " bytes";
    }
}
