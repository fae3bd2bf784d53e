package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.core.store.UnreadableException.Code;

/**
 * Reads the fields of an object strictly: a value that is missing, of another type or out of range raises an {@link
 * UnreadableException} and is never replaced by a guess. Immutable.
 */
public final class ObjectFields {
    /** Longest accepted text, in characters: longer than any host name or path prefix, and short enough to keep for each object. */
    private static final int MAX_TEXT_CHARS = 2_048;
    /** The character that a decoder puts in place of bytes that are not valid text. */
    private static final char REPLACEMENT_CHARACTER = '\uFFFD';

    private final String path;
    private final JsonNode node;

    /**
     * Creates a reader of an object's fields.
     *
     * @param path where the object is, for messages
     * @param node the object
     * @throws UnreadableException if the node is not an object
     */
    public ObjectFields(String path, JsonNode node) {
        this.path = path;
        this.node = node;
        if (!node.isObject()) {
            throw missingOrWrongType(node, path, "an object that can be read");
        }
    }

    private static UnreadableException missingOrWrongType(JsonNode value, String path, String expected) {
        Code code = value.isMissingNode() ? Code.MISSING : Code.WRONG_TYPE;
        return new UnreadableException(code, path, expected, describe(value));
    }

    /** Returns a scalar's text, or a container's type only: writing out one that is nested deeply would exhaust the stack. */
    private static String describe(JsonNode value) {
        return value.isTextual() || value.isNumber()
                ? value.asText()
                : value.getNodeType().name();
    }

    private String pathOf(String field) {
        return path + "." + field;
    }

    /** Returns whether the field is present, whatever its value. */
    public boolean has(String field) {
        return node.has(field);
    }

    /** Returns whether the field has a value; null, which some writers use for a missing value, counts as none. */
    public boolean hasValue(String field) {
        return node.hasNonNull(field);
    }

    /** Returns a text, which may be empty. */
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

    /** Returns a text that is not blank. */
    public String nonBlankText(String field) {
        String text = text(field);
        if (text.isBlank()) {
            throw new UnreadableException(Code.NOT_ALLOWED, pathOf(field), "a text that is not blank", text);
        }
        return text;
    }

    /** Returns an integer within the given bounds, both included. */
    public long integer(String field, long min, long max) {
        JsonNode value = node.path(field);
        if (!value.isIntegralNumber()) {
            throw missingOrWrongType(value, pathOf(field), "an integer");
        }
        if (!value.canConvertToLong() || value.asLong() < min || value.asLong() > max) {
            throw outOfRange(field, value, min, max);
        }
        return value.asLong();
    }

    /** Returns a number within the given bounds, both included, without its fraction. */
    public long number(String field, long min, long max) {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw missingOrWrongType(value, pathOf(field), "a number");
        }
        double number = value.asDouble();
        if (!(number >= min && number <= max)) {
            throw outOfRange(field, value, min, max);
        }
        return (long) number;
    }

    /** Returns a number within the given bounds, or the fallback where the field has no value. */
    public long number(String field, long min, long max, long fallback) {
        return hasValue(field) ? number(field, min, max) : fallback;
    }

    private UnreadableException outOfRange(String field, JsonNode value, long min, long max) {
        return new UnreadableException(Code.NOT_ALLOWED, pathOf(field), min + " to " + max, describe(value));
    }

    /** Returns a finite number of 0 or more, which may have a fraction. */
    public double decimal(String field) {
        JsonNode value = node.path(field);
        if (!value.isNumber()) {
            throw missingOrWrongType(value, pathOf(field), "a number");
        }
        double number = value.asDouble();
        if (!(number >= 0 && number < Double.POSITIVE_INFINITY)) {
            throw new UnreadableException(Code.NOT_ALLOWED, pathOf(field), "0 or more", describe(value));
        }
        return number;
    }

    /** Returns a boolean. */
    public boolean flag(String field) {
        JsonNode value = node.path(field);
        if (!value.isBoolean()) {
            throw missingOrWrongType(value, pathOf(field), "true or false");
        }
        return value.asBoolean();
    }

    /** Returns a boolean, or false where the field has no value. */
    public boolean optionalFlag(String field) {
        return hasValue(field) && flag(field);
    }

    /** Returns the object in a field, or one without fields where the field has no value. */
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

    /** Returns the objects of a list, or none where the field has no value. */
    public List<ObjectFields> optionalList(String field) {
        return hasValue(field) ? list(field) : List.of();
    }

    /** Returns the texts of a list, none of which is blank, or none where the field has no value. Messages don't quote them. */
    public List<String> nonBlankTexts(String field) {
        if (!hasValue(field)) {
            return List.of();
        }
        JsonNode value = node.path(field);
        if (!value.isArray()) {
            throw new UnreadableException(
                    Code.WRONG_TYPE,
                    pathOf(field),
                    "a list",
                    value.getNodeType().name());
        }
        List<String> texts = new ArrayList<>();
        for (JsonNode element : value) {
            if (!element.isTextual() || element.asText().isBlank()) {
                String path = pathOf(field) + "[" + texts.size() + "]";
                String found = element.getNodeType().name();
                throw new UnreadableException(Code.NOT_ALLOWED, path, "a text that is not blank", found);
            }
            texts.add(element.asText());
        }
        return texts;
    }

    /** Returns an exception for a value that has the right type but is not allowed. */
    public UnreadableException notAllowed(String field, String expected) {
        return new UnreadableException(Code.NOT_ALLOWED, pathOf(field), expected, describe(node.path(field)));
    }
}
