package org.quetzalseam.daemon;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;

/** Reads and writes JSON with one shared configuration. Thread-safe. */
public final class Json {
    private static final int MAX_DEPTH = 64;
    private static final ObjectMapper MAPPER = mapper();

    private Json() {}

    private static ObjectMapper mapper() {
        ObjectMapper mapper = JsonMapper.builder()
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .build();
        mapper.getFactory()
                .setStreamReadConstraints(StreamReadConstraints.builder()
                        .maxNestingDepth(MAX_DEPTH)
                        .build());
        return mapper;
    }

    /** Returns an empty JSON object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /**
     * Reads a document.
     *
     * @throws IOException when the bytes are not one JSON document; no bytes are none
     */
    public static JsonNode read(byte[] bytes) throws IOException {
        JsonNode tree = MAPPER.readTree(bytes);
        if (tree == null || tree.isMissingNode()) {
            throw new IOException("expected a JSON document, got " + bytes.length + " bytes without one");
        }
        return tree;
    }

    /**
     * Reads a value of the given type.
     *
     * @throws IOException when the bytes are not such a value
     */
    public static <T> T read(byte[] bytes, Class<T> type) throws IOException {
        T value = MAPPER.readValue(bytes, type);
        if (value == null) {
            throw new IOException("expected " + type.getSimpleName() + ", got null");
        }
        return value;
    }

    /** Returns a value as JSON. */
    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("cannot be written as JSON: " + value.getClass(), e);
        }
    }
}
