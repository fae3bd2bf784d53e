package org.quetzalseam.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.entry.RequestId;
import org.quetzalseam.daemon.entry.RunResult;
import org.quetzalseam.daemon.http.ServerExchange;

/** Writes an answer as server-sent events, ended by {@code data: [DONE]}. Comments probe whether the caller is still connected. */
final class StreamedAnswer implements CallerAnswer {
    private static final byte[] COMMENT = ": waiting\n\n".getBytes(StandardCharsets.US_ASCII);

    private final ChunkedResponse response;
    private final RequestId id;
    private final String model;
    private final AnswerFormat format;

    StreamedAnswer(ServerExchange exchange, RequestId id, String model, AnswerFormat format) {
        this.response = new ChunkedResponse(exchange, "text/event-stream");
        this.id = id;
        this.model = model;
        this.format = format;
    }

    @Override
    public boolean admitted() {
        return response.start(COMMENT);
    }

    @Override
    public boolean probe() {
        return response.write(COMMENT);
    }

    @Override
    public boolean output(String text) {
        return event(format.event(id, model, text, null));
    }

    private boolean event(ObjectNode body) {
        return response.write(("data: " + new String(Json.write(body), StandardCharsets.UTF_8) + "\n\n")
                .getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void end(RunResult result) {
        if (!response.isStarted()) {
            throw CallerException.of(result);
        }
        if (result.outcome() != Outcome.ANSWERED) {
            // Omits the closing [DONE], so that no client takes the answer for a complete one.
            event(ErrorReply.body(CallerException.of(result), id));
            return;
        }
        event(format.event(id, model, "", result.finishReason()));
        response.write("data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII));
    }
}
