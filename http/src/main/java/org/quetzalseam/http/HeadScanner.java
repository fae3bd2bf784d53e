package org.quetzalseam.http;

import io.netty.buffer.ByteBuf;

/** Finds the end of the head of a request, however its bytes arrive. Bytes that were scanned are not scanned again. Not thread-safe. */
final class HeadScanner {
    private int scanned;
    private boolean begun;
    private boolean lineEmpty;
    private boolean whole;

    /** Begins another head. */
    void reset() {
        scanned = 0;
        begun = false;
        lineEmpty = false;
        whole = false;
    }

    /** Returns whether a byte has been found that is not white space before the head. */
    boolean begun() {
        return begun;
    }

    /** Returns whether an empty line has been found after the head. */
    boolean whole() {
        return whole;
    }

    /** Scans the readable bytes of a buffer, of which those that earlier calls have scanned must still be the first. */
    void scan(ByteBuf buffer) {
        int length = buffer.readableBytes() - scanned;
        if (whole || length <= 0) {
            return;
        }
        int start = buffer.readerIndex() + scanned;
        int end = buffer.forEachByte(start, length, this::inside);
        whole = end >= 0;
        scanned += whole ? end - start + 1 : length;
    }

    /** Returns whether a byte belongs to the head, and is not the end of the empty line after it. */
    private boolean inside(byte next) {
        if (!begun) {
            begun = !Character.isWhitespace(next) && !Character.isISOControl(next);
            return true;
        }
        if (next == '\n') {
            boolean ends = lineEmpty;
            lineEmpty = true;
            return !ends;
        }
        lineEmpty = lineEmpty && next == '\r';
        return true;
    }
}
