package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Cuts a stream's bytes into whole events and keeps the last event's id, so that a piece of an event is never delivered. Not
 * thread-safe.
 */
final class EventStreamParser {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    /** Longest event that is collected, in bytes; a longer one is treated as broken. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private ByteBuf buffered = Unpooled.buffer();
    private @Nullable String lastId;
    private long eventCount;

    /** Returns the id of the last whole event, or null before the first. */
    @Nullable
    String lastId() {
        return lastId;
    }

    /** Returns how many whole events have passed. */
    long eventCount() {
        return eventCount;
    }

    /** Returns whether a piece of an event is left that has no end. */
    boolean hasIncompleteEvent() {
        return buffered.isReadable();
    }

    /** Forgets a piece of an event: the stream goes on from the last whole one. */
    void discardIncompleteEvent() {
        buffered.clear();
    }

    /** Takes bytes and returns the whole events among them, possibly none. The caller releases what is returned. */
    ByteBuf append(ByteBuf piece) {
        buffered.writeBytes(piece);
        piece.release();
        if (buffered.readableBytes() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("an event is longer than " + MAX_EVENT_BYTES + " bytes");
        }
        int end = scan();
        ByteBuf complete = Unpooled.copiedBuffer(buffered.slice(buffered.readerIndex(), end - buffered.readerIndex()));
        buffered.readerIndex(end);
        buffered.discardReadBytes();
        return complete;
    }

    /** Walks the lines, counts events and notes ids. Returns the index after the last whole event. */
    private int scan() {
        int endOfEvents = buffered.readerIndex();
        int lineStart = buffered.readerIndex();
        @Nullable String id = null;
        while (true) {
            int newline = buffered.indexOf(lineStart, buffered.writerIndex(), (byte) '\n');
            if (newline < 0) {
                return endOfEvents;
            }
            int length = newline - lineStart;
            if (length == 0 || (length == 1 && buffered.getByte(lineStart) == '\r')) {
                endOfEvents = newline + 1;
                eventCount++;
                lastId = id == null ? lastId : id;
                id = null;
            } else if (startsWithIdField(lineStart, length)) {
                id = buffered.toString(lineStart + ID_FIELD.length, length - ID_FIELD.length, StandardCharsets.US_ASCII)
                        .strip();
            }
            lineStart = newline + 1;
        }
    }

    private boolean startsWithIdField(int lineStart, int length) {
        if (length < ID_FIELD.length) {
            return false;
        }
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (buffered.getByte(lineStart + i) != ID_FIELD[i]) {
                return false;
            }
        }
        return true;
    }
}
