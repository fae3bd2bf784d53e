package org.quetzalseam.gateway.store;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.quetzalseam.gateway.store.UnreadableException.Code;

/**
 * Takes JSON text apart without reading the values in it, so that a value that no parser takes, or that would cost too much to
 * read, takes no other with it. Needs no stack for nested values. Used once for a text.
 */
public final class JsonSplitter {
    private final String text;
    private int position;

    private JsonSplitter(String text) {
        this.text = text;
    }

    /**
     * Returns the texts of an object's values by field.
     *
     * @throws UnreadableException if the text isn't a whole object and nothing else
     */
    public static Map<String, String> fields(String text) {
        JsonSplitter pieces = new JsonSplitter(text);
        Map<String, String> fields = new LinkedHashMap<>();
        pieces.expect('{');
        while (pieces.hasMore('}', fields.isEmpty())) {
            String name = pieces.value();
            pieces.expect(':');
            fields.put(name.replace("\"", ""), pieces.value());
        }
        pieces.expectEnd();
        return fields;
    }

    /**
     * Returns the texts of a list's values.
     *
     * @throws UnreadableException if the text isn't a whole list and nothing else
     */
    public static List<String> elements(String text) {
        JsonSplitter pieces = new JsonSplitter(text);
        List<String> elements = new ArrayList<>();
        pieces.expect('[');
        while (pieces.hasMore(']', elements.isEmpty())) {
            elements.add(pieces.value());
        }
        pieces.expectEnd();
        return elements;
    }

    /** Steps over what stands between two values. Returns whether another one follows. */
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

    private void expect(char sign) {
        skipSpace();
        if (position >= text.length() || text.charAt(position) != sign) {
            throw syntaxError("'" + sign + "'");
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
        return new UnreadableException(Code.NOT_ALLOWED, "character " + position + " of an answer", expected, found);
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

    /** Steps over a number, a word, or what stands in the place of one. */
    private void skipLiteral() {
        while (position < text.length() && ",:{}[]\" \t\r\n".indexOf(text.charAt(position)) < 0) {
            position++;
        }
    }
}
