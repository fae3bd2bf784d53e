package org.quetzalseam.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.List;

/**
 * The body of a request while it arrives, in pieces that are never copied to grow, so that it takes hardly more memory than it has
 * bytes. Short pieces come from the pool of buffers; a long one is of its exact length, which the pool would round up to megabytes. Used on
 * one event loop only.
 */
final class ReceivedBody {
    /** Length of the first piece of a body of unknown length, in bytes; each further one is as long as all before it. */
    private static final int FIRST_PIECE_BYTES = 1024;

    private static final int LONGEST_PIECE_BYTES = 64 * 1024;

    private final ByteBufAllocator pool;
    private final List<ByteBuf> pieces = new ArrayList<>();
    private int length;
    private int capacity;

    /** Creates a body of which the length is known, or 0. */
    ReceivedBody(ByteBufAllocator pool, int expectedBytes) {
        this.pool = pool;
        if (expectedBytes > 0) {
            addPiece(expectedBytes);
        }
    }

    private ByteBuf addPiece(int bytes) {
        ByteBuf piece =
                bytes > LONGEST_PIECE_BYTES ? Unpooled.directBuffer(bytes, bytes) : pool.directBuffer(bytes, bytes);
        pieces.add(piece);
        capacity += bytes;
        return piece;
    }

    /** Returns how many bytes have arrived. */
    int length() {
        return length;
    }

    /** Returns how much memory the body takes when the given number of bytes has been added, in bytes. */
    int capacityWith(int moreBytes) {
        int needed = length + moreBytes;
        int total = capacity;
        while (total < needed) {
            total += nextPiece(total);
        }
        return total;
    }

    private static int nextPiece(int present) {
        return Math.min(LONGEST_PIECE_BYTES, Math.max(FIRST_PIECE_BYTES, present));
    }

    /** Adds bytes, and leaves their buffer to the caller. */
    void add(ByteBuf bytes) {
        length += bytes.readableBytes();
        while (bytes.isReadable()) {
            ByteBuf last = pieces.isEmpty() ? addPiece(FIRST_PIECE_BYTES) : pieces.get(pieces.size() - 1);
            if (!last.isWritable()) {
                last = addPiece(nextPiece(capacity));
            }
            last.writeBytes(bytes, Math.min(bytes.readableBytes(), last.writableBytes()));
        }
    }

    /** Returns the whole body, which its receiver releases. This object must not be used any more. */
    ByteBuf whole() {
        if (pieces.isEmpty()) {
            return Unpooled.EMPTY_BUFFER;
        }
        if (pieces.size() == 1) {
            return pieces.get(0);
        }
        CompositeByteBuf whole = Unpooled.compositeBuffer(pieces.size());
        pieces.forEach(piece -> whole.addComponent(true, piece));
        return whole;
    }

    void release() {
        pieces.forEach(ByteBuf::release);
        pieces.clear();
    }
}
