package org.quetzalseam.http;

import io.netty.buffer.ByteBuf;

/**
 * Counts the status lines in a sequence of bytes, however the bytes are split. Like the decoder, it takes letters of either case and
 * any number of blanks, because a line that only one of the two takes for a status line would go untold. Not thread-safe.
 */
final class StatusLineScanner {
    /** The beginning of a status line; {@code 0} stands for any digit, and a blank for one or more. */
    private static final String PATTERN = "http/0.0 000";

    private static final int AFTER_BLANK = PATTERN.indexOf(' ') + 1;

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
        } else if (matched != AFTER_BLANK || !isBlank(next)) {
            // No other character of the pattern is its first one, so a match can only begin anew here.
            matched = matches(next, PATTERN.charAt(0)) ? 1 : 0;
        }
        if (matched == PATTERN.length()) {
            count++;
            matched = 0;
        }
    }

    private static boolean matches(byte next, char expected) {
        return switch (expected) {
            case '0' -> next >= '0' && next <= '9';
            case ' ' -> isBlank(next);
            default -> Character.toLowerCase((char) next) == expected;
        };
    }

    /** Returns whether a byte is white space within a line: a blank, or a character from tab to carriage return except the line feed. */
    private static boolean isBlank(byte next) {
        return next == ' ' || (next >= '\t' && next <= '\r' && next != '\n');
    }
}
