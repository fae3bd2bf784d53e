package org.quetzalseam.http;

import org.jspecify.annotations.Nullable;

/**
 * Checks that the heads and trailers of replies are those that RFC 9112 defines, byte by byte, however the bytes are split. The decoder
 * accepts more: it reads a status of any digits, ends a name at its first blank and skips what stands before a status line, so that
 * what it decodes no longer tells what was sent. Not thread-safe.
 *
 * <p>As the RFC asks of a proxy, blanks between a name and its colon and lines that continue a value are accepted.
 */
final class HeadSyntax {
    /** Blank lines that may precede a status line. */
    static final int MOST_BLANK_LINES = 16;

    /** The beginning of a status line; {@code d} stands for a digit, and {@code v} for the digit of a supported version. */
    private static final String STATUS_LINE = "HTTP/1.v ddd";

    private static final int LOWEST_STATUS = 100;
    private static final int HIGHEST_STATUS = 599;
    private static final String NAME_SYMBOLS = "!#$%&'*+-.^_`|~";

    private enum Place {
        STATUS_LINE,
        AFTER_STATUS,
        REASON,
        LINE_START,
        NAME,
        AFTER_NAME,
        VALUE,
        END
    }

    private Place place = Place.STATUS_LINE;
    private int matched;
    private int status;
    private int blankLines;
    private boolean afterCarriageReturn;
    private boolean firstLine;

    /** Begins the head of another reply. */
    void beginHead() {
        begin(Place.STATUS_LINE);
        matched = 0;
        status = 0;
        blankLines = 0;
    }

    /** Begins a trailer, which is the fields of a head without a status line. */
    void beginTrailer() {
        begin(Place.LINE_START);
    }

    private void begin(Place first) {
        place = first;
        afterCarriageReturn = false;
        firstLine = true;
    }

    /** Returns whether the empty line has been added that ends the head or trailer. */
    boolean ended() {
        return place == Place.END;
    }

    /** Adds the next byte. Returns what was expected and found if it can't follow the bytes before it, else null. */
    @Nullable
    String add(byte next) {
        if (afterCarriageReturn && next != '\n') {
            return unexpected("a line feed after a carriage return", next);
        }
        if (next == '\r' && mayEndLine()) {
            afterCarriageReturn = true;
            return null;
        }
        afterCarriageReturn = false;
        return switch (place) {
            case STATUS_LINE -> addToStatusLine(next);
            case AFTER_STATUS, REASON -> addToReason(next);
            case LINE_START -> addToLineStart(next);
            case NAME, AFTER_NAME -> addToName(next);
            case VALUE -> addToValue(next);
            case END -> unexpected("the end of the head", next);
        };
    }

    private boolean mayEndLine() {
        return switch (place) {
            case STATUS_LINE -> matched == 0;
            case AFTER_STATUS, REASON, LINE_START, VALUE -> true;
            case NAME, AFTER_NAME, END -> false;
        };
    }

    private @Nullable String addToStatusLine(byte next) {
        if (matched == 0 && next == '\n') {
            blankLines++;
            return blankLines > MOST_BLANK_LINES
                    ? "expected at most " + MOST_BLANK_LINES + " blank lines before a status line, found more"
                    : null;
        }
        char expected = STATUS_LINE.charAt(matched);
        boolean matches = switch (expected) {
            case 'v' -> next == '0' || next == '1';
            case 'd' -> isDigit(next);
            default -> next == expected;
        };
        if (!matches) {
            return unexpected("a status line such as HTTP/1.1 200, of which byte " + (matched + 1) + " was read", next);
        }
        matched++;
        status = expected == 'd' ? 10 * status + next - '0' : status;
        if (matched < STATUS_LINE.length()) {
            return null;
        }
        place = Place.AFTER_STATUS;
        return status < LOWEST_STATUS || status > HIGHEST_STATUS
                ? "expected a status from " + LOWEST_STATUS + " to " + HIGHEST_STATUS + ", found " + status
                : null;
    }

    private @Nullable String addToReason(byte next) {
        if (place == Place.AFTER_STATUS && next != ' ' && next != '\n') {
            return unexpected("a blank after the three digits of a status", next);
        }
        place = next == '\n' ? Place.LINE_START : Place.REASON;
        return next == '\n' || isText(next) ? null : unexpected("text in a reason", next);
    }

    private @Nullable String addToLineStart(byte next) {
        if (next == '\n') {
            place = Place.END;
            return null;
        }
        if (isBlank(next) && !firstLine) {
            place = Place.VALUE;
            return null;
        }
        firstLine = false;
        place = Place.NAME;
        return isOfName(next) ? null : unexpected("the name of a field", next);
    }

    private @Nullable String addToName(byte next) {
        if (next == ':') {
            place = Place.VALUE;
            return null;
        }
        if (isBlank(next)) {
            place = Place.AFTER_NAME;
            return null;
        }
        return place == Place.NAME && isOfName(next) ? null : unexpected("the name of a field and a colon", next);
    }

    private @Nullable String addToValue(byte next) {
        place = next == '\n' ? Place.LINE_START : Place.VALUE;
        return next == '\n' || isText(next) ? null : unexpected("text in the value of a field", next);
    }

    private static String unexpected(String expected, byte found) {
        return String.format("expected %s, found byte 0x%02x", expected, found);
    }

    private static boolean isDigit(byte next) {
        return next >= '0' && next <= '9';
    }

    private static boolean isBlank(byte next) {
        return next == ' ' || next == '\t';
    }

    /** Returns whether a byte is text: any but a control character other than a tab. */
    private static boolean isText(byte next) {
        return next < 0 || next == '\t' || (next >= ' ' && next != '\u007f');
    }

    private static boolean isOfName(byte next) {
        return isDigit(next)
                || (next >= 'a' && next <= 'z')
                || (next >= 'A' && next <= 'Z')
                || NAME_SYMBOLS.indexOf(next) >= 0;
    }
}
