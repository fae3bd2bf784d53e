package org.quetzalseam.gateway.route;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import org.jspecify.annotations.Nullable;

/**
 * Splits a stream's bytes into complete events and keeps the id of the last one, so that a part of an event is never delivered.
 * Not thread-safe.
 */
final class EventStreamParser {
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    /** Longest event that is buffered, in bytes; a longer one is treated as malformed. */
    private static final int MAX_EVENT_BYTES = 1024 * 1024;

    private ByteBuf buffered = Unpooled.buffer();
    private @Nullable String lastId;
    private long eventCount;

    /** Returns the id of the last complete event that had one, or null before the first. */
    @Nullable
    String lastId() {
        return lastId;
    }

    /** Returns the number of complete events so far. */
    long eventCount() {
        return eventCount;
    }

    /** Returns whether the start of an event is buffered whose end has not arrived. */
    boolean hasIncompleteEvent() {
        return buffered.isReadable();
    }

    /** Discards a buffered part of an event: the stream is resumed after the last complete event. */
    void discardIncompleteEvent() {
        buffered.clear();
    }

    /**
     * Appends bytes and returns the events that are now complete, possibly none. Releases {@code piece}; the caller
     * releases the result.
     */
    ByteBuf append(ByteBuf piece) {
        buffered.writeBytes(piece);
        piece.release();
        if (buffered.readableBytes() > MAX_EVENT_BYTES) {
            throw new IllegalStateException("event exceeds " + MAX_EVENT_BYTES + " bytes");
        }
        int end = scan();
        ByteBuf complete = Unpooled.copiedBuffer(buffered.slice(buffered.readerIndex(), end - buffered.readerIndex()));
        buffered.readerIndex(end);
        buffered.discardReadBytes();
        return complete;
    }

    /** Scans the lines, counts events and records ids. Returns the index after the last complete event. */
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
