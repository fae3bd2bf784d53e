package org.quetzalseam.core.store;

/** Signals that a value from the store is not what was expected there. */
public final class UnreadableException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    /** Longest part of a value that a message shows, in characters: enough to recognize it, short enough for a log line. */
    private static final int MAX_SHOWN_CHARS = 60;

    /** What is wrong with a value. */
    public enum Code {
        /** The value is missing. */
        MISSING,
        /** The value has another type. */
        WRONG_TYPE,
        /** The value has the expected type, but is not one of the known or allowed values. */
        NOT_ALLOWED
    }

    private final Code code;
    private final String description;
    private final String fault;

    /**
     * Creates an exception.
     *
     * @param code what is wrong
     * @param where the location of the value
     * @param expected what a valid value is
     * @param found the value as received
     */
    public UnreadableException(Code code, String where, String expected, String found) {
        this(code, where, printable(where) + ": expected " + expected + ", got " + printable(found));
    }

    private UnreadableException(Code code, String where, String text) {
        super(text);
        this.code = code;
        this.description = text;
        this.fault = code + " " + printable(where);
    }

    /** Returns what is wrong. */
    public Code code() {
        return code;
    }

    /** Returns the location of the value, what was expected and what was found, safe for a log line. */
    public String description() {
        return description;
    }

    /** Returns the fault without the value, so that two values that are wrong in the same way have the same fault. */
    public String fault() {
        return fault;
    }

    /** Returns the beginning of a text, with a question mark in place of each character that could break a log line. */
    public static String printable(String text) {
        StringBuilder shown = new StringBuilder();
        for (int i = 0; i < Math.min(text.length(), MAX_SHOWN_CHARS); i++) {
            char next = text.charAt(i);
            shown.append(next < ' ' || next == '"' || next > '~' ? '?' : next);
        }
        return text.length() > MAX_SHOWN_CHARS ? shown + "..." : shown.toString();
    }
}
