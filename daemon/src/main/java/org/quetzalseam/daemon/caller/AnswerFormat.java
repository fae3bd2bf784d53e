package org.quetzalseam.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.entry.RequestId;

/** Formats answers as JSON. Implementations are stateless. */
interface AnswerFormat {
    /** Returns one event of a stream; the finish reason is null in all events but the last. */
    ObjectNode event(RequestId id, String model, String text, @Nullable String finishReason);

    /** Returns a complete answer. */
    ObjectNode complete(RequestId id, String model, String text, String finishReason);

    /** Returns the format of plain completions. */
    static AnswerFormat plain() {
        return new AnswerFormat() {
            @Override
            public ObjectNode event(RequestId id, String model, String text, @Nullable String finishReason) {
                ObjectNode body = head(id, "text_completion", model);
                body.putArray("choices")
                        .addObject()
                        .put("index", 0)
                        .put("text", text)
                        .put("finish_reason", finishReason);
                return body;
            }

            @Override
            public ObjectNode complete(RequestId id, String model, String text, String finishReason) {
                return event(id, model, text, finishReason);
            }
        };
    }

    /** Returns the format of chat completions. */
    static AnswerFormat chat() {
        return new AnswerFormat() {
            @Override
            public ObjectNode event(RequestId id, String model, String text, @Nullable String finishReason) {
                return choice(id, "chat.completion.chunk", model, "delta", text, finishReason);
            }

            @Override
            public ObjectNode complete(RequestId id, String model, String text, String finishReason) {
                return choice(id, "chat.completion", model, "message", text, finishReason);
            }
        };
    }

    private static ObjectNode head(RequestId id, String object, String model) {
        return Json.object().put("id", id.toString()).put("object", object).put("model", model);
    }

    private static ObjectNode choice(
            RequestId id, String object, String model, String part, String text, @Nullable String finishReason) {
        ObjectNode body = head(id, object, model);
        ObjectNode choice = body.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject(part).put("role", "assistant").put("content", text);
        choice.put("finish_reason", finishReason);
        return body;
    }
}
