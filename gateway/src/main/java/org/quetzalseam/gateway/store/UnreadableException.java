package org.quetzalseam.gateway.store;

/** Says that a value that came from the store isn't what was expected there. */
public final class UnreadableException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    /** Longest part of a value that a message shows, in characters: enough to recognize it, little enough for a log line. */
    private static final int MAX_SHOWN_CHARS = 60;

    /** What is wrong with a value. */
    public enum Code {
        /** There is none. */
        MISSING,
        /** It is of another type. */
        WRONG_TYPE,
        /** It is of the type, but not one of the values that are known or allowed. */
        NOT_ALLOWED
    }

    private final Code code;
    private final String description;
    private final String fault;

    /**
     * Creates an exception.
     *
     * @param code what is wrong
     * @param where which value
     * @param expected what a proper value is
     * @param found the value as it came
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

    /** Returns where the value is, what was expected and what was found, fit for a log line. */
    public String description() {
        return description;
    }

    /** Returns the fault without the value: the same for two values that are wrong in the same way. */
    public String fault() {
        return fault;
    }

    /** Returns the beginning of a text, with a sign in place of whatever could break a log line. */
    static String printable(String text) {
        StringBuilder shown = new StringBuilder();
        for (int i = 0; i < Math.min(text.length(), MAX_SHOWN_CHARS); i++) {
            char next = text.charAt(i);
            shown.append(next < ' ' || next == '"' || next > '~' ? '?' : next);
        }
        return text.length() > MAX_SHOWN_CHARS ? shown + "..." : shown.toString();
    }
}
