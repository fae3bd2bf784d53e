package org.quetzalseam.http;

import io.netty.buffer.ByteBuf;

/**
 * Finds the trailer of a body in chunks among the bytes that the decoder has read, which tells only the body and the trailer's fields.
 * Not thread-safe.
 */
final class ChunkFraming {
    private enum Place {
        SIZE,
        DATA,
        TRAILER
    }

    private Place place = Place.SIZE;
    private boolean sizeIsZero = true;
    private boolean sizeEnded;

    /** Begins another body. */
    void begin() {
        place = Place.SIZE;
        beginSize();
    }

    private void beginSize() {
        sizeIsZero = true;
        sizeEnded = false;
    }

    /**
     * Adds what the decoder has read at once: the rest of a chunk's size, of its data and of the line end after it, each of which may be
     * missing, or a part of the trailer.
     *
     * @param dataBytes how many of the bytes are data
     * @return the index from which the bytes are those of the trailer, or {@code to}
     */
    int add(ByteBuf bytes, int from, int to, int dataBytes) {
        int index = from;
        while (place == Place.SIZE && index < to) {
            addToSize(bytes.getByte(index));
            index++;
        }
        if (place == Place.DATA) {
            index += dataBytes;
            if (index < to && bytes.indexOf(index, to, (byte) '\n') >= 0) {
                place = Place.SIZE;
                beginSize();
            }
            return to;
        }
        return index;
    }

    private void addToSize(byte next) {
        if (next == '\n') {
            place = sizeIsZero ? Place.TRAILER : Place.DATA;
        } else if (next != '0' && !sizeEnded) {
            // What ends the digits may be an extension or the line end; other bytes fail in the decoder.
            sizeEnded = Character.digit(next, 16) < 0;
            sizeIsZero = sizeEnded && sizeIsZero;
        }
    }
}
