package org.quetzalseam.core.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Splits JSON text into the raw texts of its values without parsing them, so that a value that a parser rejects, or that would
 * cost too much to parse, does not affect the others. Nested values need no stack. Each instance is used for one text.
 */
public final class JsonSplitter {
    private final String text;
    private int position;

    private JsonSplitter(String text) {
        this.text = text;
    }

    /**
     * Returns the raw texts of an object's values by field.
     *
     * @throws UnreadableException if the text is not one complete object
     */
    public static Map<String, String> fields(String text) {
        JsonSplitter splitter = new JsonSplitter(text);
        Map<String, String> fields = new LinkedHashMap<>();
        splitter.expect('{');
        while (splitter.hasMore('}', fields.isEmpty())) {
            String name = splitter.value();
            splitter.expect(':');
            fields.put(name.replace("\"", ""), splitter.value());
        }
        splitter.expectEnd();
        return fields;
    }

    /**
     * Returns the raw texts of a list's values.
     *
     * @throws UnreadableException if the text is not one complete list
     */
    public static List<String> elements(String text) {
        JsonSplitter splitter = new JsonSplitter(text);
        List<String> elements = new ArrayList<>();
        splitter.expect('[');
        while (splitter.hasMore(']', elements.isEmpty())) {
            elements.add(splitter.value());
        }
        splitter.expectEnd();
        return elements;
    }

    /** Skips what separates two values. Returns whether another value follows. */
    private boolean hasMore(char end, boolean first) {
        skipSpace();
        if (position < text.length() && text.charAt(position) == end) {
            position++;
            return false;
        }
        if (!first) {
            expect(',');
        }
        return true;
    }

    private void expect(char character) {
        skipSpace();
        if (position >= text.length() || text.charAt(position) != character) {
            throw syntaxError("'" + character + "'");
        }
        position++;
    }

    private void expectEnd() {
        skipSpace();
        if (position < text.length()) {
            throw syntaxError("the end");
        }
    }

    private UnreadableException syntaxError(String expected) {
        String found = position < text.length() ? text.substring(position) : "the end";
        return new UnreadableException(
                UnreadableException.Code.NOT_ALLOWED, "character " + position + " of a response", expected, found);
    }

    private void skipSpace() {
        while (position < text.length() && " \t\r\n".indexOf(text.charAt(position)) >= 0) {
            position++;
        }
    }

    private String value() {
        skipSpace();
        int from = position;
        int depth = 0;
        do {
            if (position >= text.length()) {
                throw syntaxError("the rest of a value");
            }
            char next = text.charAt(position);
            if (next == '"') {
                skipString();
            } else if (next == '{' || next == '[') {
                depth++;
                position++;
            } else if (next == '}' || next == ']') {
                depth--;
                position++;
            } else if (depth == 0) {
                skipLiteral();
            } else {
                position++;
            }
        } while (depth > 0);
        if (depth < 0 || position == from) {
            throw syntaxError("a value");
        }
        return text.substring(from, position);
    }

    private void skipString() {
        position++;
        while (position < text.length() && text.charAt(position) != '"') {
            position += text.charAt(position) == '\\' ? 2 : 1;
        }
        if (position >= text.length()) {
            throw syntaxError("the rest of a string");
        }
        position++;
    }

    /** Skips a number, a literal such as {@code true}, or invalid text in the place of one. */
    private void skipLiteral() {
        while (position < text.length() && ",:{}[]\" \t\r\n".indexOf(text.charAt(position)) < 0) {
            position++;
        }
    }
}
