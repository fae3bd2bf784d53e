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
public final class JsonPieces {
    private final String text;
    private int at;

    private JsonPieces(String text) {
        this.text = text;
    }

    /**
     * Returns the texts of an object's values by field.
     *
     * @throws UnreadableException if the text isn't a whole object and nothing else
     */
    public static Map<String, String> fields(String text) {
        JsonPieces pieces = new JsonPieces(text);
        Map<String, String> fields = new LinkedHashMap<>();
        pieces.expect('{');
        while (pieces.more('}', fields.isEmpty())) {
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
        JsonPieces pieces = new JsonPieces(text);
        List<String> elements = new ArrayList<>();
        pieces.expect('[');
        while (pieces.more(']', elements.isEmpty())) {
            elements.add(pieces.value());
        }
        pieces.expectEnd();
        return elements;
    }

    /** Steps over what stands between two values. Returns whether another one follows. */
    private boolean more(char end, boolean first) {
        skipSpace();
        if (at < text.length() && text.charAt(at) == end) {
            at++;
            return false;
        }
        if (!first) {
            expect(',');
        }
        return true;
    }

    private void expect(char sign) {
        skipSpace();
        if (at >= text.length() || text.charAt(at) != sign) {
            throw broken("'" + sign + "'");
        }
        at++;
    }

    private void expectEnd() {
        skipSpace();
        if (at < text.length()) {
            throw broken("the end");
        }
    }

    private UnreadableException broken(String expected) {
        String found = at < text.length() ? text.substring(at) : "the end";
        return new UnreadableException(Code.NOT_ALLOWED, "character " + at + " of an answer", expected, found);
    }

    private void skipSpace() {
        while (at < text.length() && " \t\r\n".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
    }

    private String value() {
        skipSpace();
        int from = at;
        int depth = 0;
        do {
            if (at >= text.length()) {
                throw broken("the rest of a value");
            }
            char next = text.charAt(at);
            if (next == '"') {
                skipString();
            } else if (next == '{' || next == '[') {
                depth++;
                at++;
            } else if (next == '}' || next == ']') {
                depth--;
                at++;
            } else if (depth == 0) {
                skipWord();
            } else {
                at++;
            }
        } while (depth > 0);
        if (depth < 0 || at == from) {
            throw broken("a value");
        }
        return text.substring(from, at);
    }

    private void skipString() {
        at++;
        while (at < text.length() && text.charAt(at) != '"') {
            at += text.charAt(at) == '\\' ? 2 : 1;
        }
        if (at >= text.length()) {
            throw broken("the rest of a string");
        }
        at++;
    }

    /** Steps over a number, a word, or what stands in the place of one. */
    private void skipWord() {
        while (at < text.length() && ",:{}[]\" \t\r\n".indexOf(text.charAt(at)) < 0) {
            at++;
        }
    }
}
