package org.quetzalseam.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Map;
import org.quetzalseam.daemon.Json;

/**
 * A caller's completion request. Immutable.
 *
 * @param model name of the model
 * @param text the prompt
 * @param tokens estimated length of the prompt, in tokens
 * @param maxTokens largest number of tokens to generate, 0 when the caller sets none
 * @param stream whether the answer is to be streamed
 * @param fields all fields of the request's JSON body
 */
record Prompt(String model, String text, int tokens, int maxTokens, boolean stream, JsonNode fields) {
    /** Average number of characters of one token. */
    private static final int CHARS_PER_TOKEN = 4;

    static Prompt plain(byte[] body) {
        JsonNode fields = fields(body);
        JsonNode prompt = fields.path("prompt");
        if (!prompt.isTextual()) {
            throw bad("prompt: expected a text");
        }
        return of(fields, prompt.asText());
    }

    static Prompt chat(byte[] body) {
        JsonNode fields = fields(body);
        JsonNode messages = fields.path("messages");
        if (!messages.isArray() || messages.isEmpty()) {
            throw bad("messages: expected a list of at least one message");
        }
        StringBuilder text = new StringBuilder();
        for (JsonNode message : messages) {
            if (!message.path("role").isTextual() || !message.path("content").isTextual()) {
                throw bad("messages: expected texts 'role' and 'content' in each");
            }
            text.append(message.path("role").asText()).append(": ");
            text.append(message.path("content").asText()).append('\n');
        }
        return of(fields, text.toString());
    }

    private static JsonNode fields(byte[] body) {
        try {
            JsonNode fields = Json.read(body);
            if (!fields.isObject()) {
                throw bad("expected a JSON object");
            }
            return fields;
        } catch (IOException e) {
            throw bad("expected JSON");
        }
    }

    private static Prompt of(JsonNode fields, String text) {
        JsonNode model = fields.path("model");
        if (!model.isTextual() || model.asText().isEmpty()) {
            throw bad("model: expected a text");
        }
        if (text.isEmpty()) {
            throw bad("the prompt is empty");
        }
        if (fields.hasNonNull("n") && fields.path("n").asInt() != 1) {
            throw bad("n: only 1 is supported");
        }
        int tokens = (text.length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
        return new Prompt(model.asText(), text, tokens, maxTokens(fields), stream(fields), fields);
    }

    private static int maxTokens(JsonNode fields) {
        JsonNode value = fields.path("max_tokens");
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (!value.canConvertToInt() || !value.isIntegralNumber() || value.asInt() < 1) {
            throw bad("max_tokens: expected a whole number of at least 1");
        }
        return value.asInt();
    }

    private static boolean stream(JsonNode fields) {
        JsonNode value = fields.path("stream");
        if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
            throw bad("stream: expected true or false");
        }
        return value.asBoolean(false);
    }

    private static CallerException bad(String message) {
        return CallerException.notRetryable(Statuses.BAD_REQUEST, "bad-request", message);
    }

    /** Returns the request body for the engine: all of the caller's fields, with the prompt as one text. */
    byte[] engineBody(int outputTokens) {
        ObjectNode body = Json.object();
        for (Map.Entry<String, JsonNode> field : fields.properties()) {
            body.set(field.getKey(), field.getValue());
        }
        body.remove("messages");
        body.put("prompt", text);
        body.put("max_tokens", outputTokens);
        return Json.write(body);
    }
}
