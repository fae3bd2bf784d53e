package org.quetzalseam.http;

import io.netty.buffer.ByteBuf;

/** Counts the status lines in a sequence of bytes, however the bytes are split. Not thread-safe. */
final class StatusLineScanner {
    /** The beginning of a status line; {@code 0} stands for any digit. */
    private static final String PATTERN = "HTTP/0.0 000";

    private int matched;
    private int count;

    /** Begins another sequence. */
    void reset() {
        matched = 0;
        count = 0;
    }

    /** Returns how many status lines have begun in the sequence. */
    int count() {
        return count;
    }

    /** Adds the bytes of a buffer from one index to another, which is excluded. */
    void add(ByteBuf bytes, int from, int to) {
        for (int index = from; index < to; index++) {
            add(bytes.getByte(index));
        }
    }

    private void add(byte next) {
        if (matches(next, PATTERN.charAt(matched))) {
            matched++;
        } else {
            // No other character of the pattern is its first one, so a match can only begin anew here.
            matched = next == PATTERN.charAt(0) ? 1 : 0;
        }
        if (matched == PATTERN.length()) {
            count++;
            matched = 0;
        }
    }

    private static boolean matches(byte next, char expected) {
        return expected == '0' ? next >= '0' && next <= '9' : next == expected;
    }
}
