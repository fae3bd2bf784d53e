package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import org.quetzalseam.gateway.store.UnreadableException.Code;

/**
 * Reads the fields of an object strictly: what is missing, of another type or out of range ends the reading with an {@link
 * UnreadableException}, and is never replaced by a guess. Immutable.
 */
public final class ObjectFields {
    /** Longest text taken, in characters: more than any host's name or path prefix, and little enough to keep for each object. */
    private static final int MAX_TEXT_CHARS = 2_048;
    /** What a decoder puts in place of bytes that are no text. */
    private static final char REPLACEMENT_CHARACTER = '\uFFFD';

    private final String path;
    private final JsonNode node;

    /**
     * Begins to read an object.
     *
     * @param path what the object is, for messages
     * @param node the object
     * @throws UnreadableException if it is none
     */
    public ObjectFields(String where, JsonNode node) {
        this.path = where;
        this.node = node;
        if (!node.isObject()) {
            throw missingOrWrongType(node, where, "an object that can be read");
        }
    }

    private static UnreadableException missingOrWrongType(JsonNode value, String at, String expected) {
        Code code = value.isMissingNode() ? Code.MISSING : Code.WRONG_TYPE;
        return new UnreadableException(code, at, expected, describe(value));
    }

    /** Containers are named only: writing out one that is nested deeply would exhaust the stack. */
    private static String describe(JsonNode value) {
        return value.isTextual() || value.isNumber()
                ? value.asText()
                : value.getNodeType().name();
    }

    private String pathOf(String field) {
        return path + "." + field;
    }

    /** Returns whether the field is there, whatever its value. */
    public boolean has(String field) {
        return node.has(field);
    }

    /** Returns whether there is a value; null, which some writers put in place of none, is none. */
    public boolean hasValue(String field) {
        return node.hasNonNull(field);
    }

    /** Returns a text of any length from none to the longest. */
    public String text(String field) {
        JsonNode value = node.path(field);
        if (!value.isTextual()) {
            throw missingOrWrongType(value, pathOf(field), "a text");
        }
        String text = value.asText();
        if (text.length() > MAX_TEXT_CHARS || text.chars().anyMatch(ObjectFields::isUnprintable)) {
            throw new UnreadableException(
                    Code.NOT_ALLOWED, pathOf(field), "at most " + MAX_TEXT_CHARS + " printable characters", text);
        }
        return text;
    }

    private static boolean isUnprintable(int character) {
        return character < ' ' || character == 0x7F || character == REPLACEMENT_CHARACTER;
    }

    /** Returns a text that isn't empty. */
    public String nonBlankText(String field) {
        String name = text(field);
        if (name.isBlank()) {
            throw new UnreadableException(Code.NOT_ALLOWED, pathOf(field), "a name", name);
        }
        return name;
    }

    /** Returns a number without a fraction. */
    public long integer(String field, long least, long most) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber()) {
            throw missingOrWrongType(value, pathOf(field), "a whole number");
        }
        if (!value.canConvertToLong() || value.asLong() < least || value.asLong() > most) {
            throw outOfRange(field, value, least, most);
        }
        return value.asLong();
    }

    /** Returns a number; one that isn't whole loses its fraction. */
    public long number(String field, long least, long most) {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw missingOrWrongType(value, pathOf(field), "a number");
        }
        double number = value.asDouble();
        if (!(number >= least && number <= most)) {
            throw outOfRange(field, value, least, most);
        }
        return (long) number;
    }

    /** Returns a number, or the given one where there is none. */
    public long number(String field, long least, long most, long fallback) {
        return hasValue(field) ? number(field, least, most) : fallback;
    }

    private UnreadableException outOfRange(String field, JsonNode value, long least, long most) {
        return new UnreadableException(Code.NOT_ALLOWED, pathOf(field), least + " to " + most, describe(value));
    }

    /** Returns a number that may have a fraction. */
    public double decimal(String field) {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw missingOrWrongType(value, pathOf(field), "a number");
        }
        double share = value.asDouble();
        if (!(share >= 0 && share < Double.POSITIVE_INFINITY)) {
            throw new UnreadableException(Code.NOT_ALLOWED, pathOf(field), "0 or more", describe(value));
        }
        return share;
    }

    /** Returns true or false. */
    public boolean flag(String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw missingOrWrongType(value, pathOf(field), "true or false");
        }
        return value.asBoolean();
    }

    /** Returns true or false, the latter where there is none. */
    public boolean optionalFlag(String field) {
        return hasValue(field) && flag(field);
    }

    /** Returns the object in a field; one without fields where there is none. */
    public ObjectFields optionalObject(String field) {
        return new ObjectFields(
                pathOf(field), hasValue(field) ? node.path(field) : JsonNodeFactory.instance.objectNode());
    }

    /** Returns the objects of a list. */
    public List<ObjectFields> list(String field) {
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw missingOrWrongType(value, pathOf(field), "a list");
        }
        List<ObjectFields> objects = new ArrayList<>();
        for (JsonNode element : value) {
            objects.add(new ObjectFields(pathOf(field) + "[" + objects.size() + "]", element));
        }
        return objects;
    }

    /** Returns the objects of a list; none where there is no list. */
    public List<ObjectFields> optionalList(String field) {
        return hasValue(field) ? list(field) : List.of();
    }

    /** Returns an exception for a value that is of the right type but isn't allowed. */
    public UnreadableException notAllowed(String field, String expected) {
        return new UnreadableException(Code.NOT_ALLOWED, pathOf(field), expected, describe(node.path(field)));
    }
}
