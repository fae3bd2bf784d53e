package org.quetzalseam.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.entry.RequestId;
import org.quetzalseam.daemon.entry.RunResult;
import org.quetzalseam.daemon.http.ServerExchange;

/**
 * Writes an answer as one JSON document. The response is started when the request is admitted; white space before the document
 * probes whether the caller is still connected. Once the response is started, an error can only be reported in the document.
 */
final class JsonAnswer implements CallerAnswer {
    private static final byte[] SPACE = {' '};

    private final ChunkedResponse response;
    private final RequestId id;
    private final String model;
    private final AnswerFormat format;
    private final StringBuilder text = new StringBuilder();
    private long probedAtNanos;

    JsonAnswer(ServerExchange exchange, RequestId id, String model, AnswerFormat format) {
        this.response = new ChunkedResponse(exchange, "application/json");
        this.id = id;
        this.model = model;
        this.format = format;
    }

    @Override
    public boolean admitted() {
        probedAtNanos = System.nanoTime();
        return response.start(SPACE);
    }

    @Override
    public boolean probe() {
        probedAtNanos = System.nanoTime();
        return response.write(SPACE);
    }

    @Override
    public boolean output(String output) {
        text.append(output);
        long probeIntervalNanos = 250_000_000;
        return System.nanoTime() - probedAtNanos < probeIntervalNanos || probe();
    }

    @Override
    public void end(RunResult result) {
        if (!response.isStarted()) {
            throw CallerException.of(result);
        }
        ObjectNode body = result.outcome() == Outcome.ANSWERED
                ? format.complete(id, model, text.toString(), result.finishReason())
                : ErrorReply.body(CallerException.of(result), id);
        response.write(Json.write(body));
    }
}
