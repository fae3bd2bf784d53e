package org.quetzalseam.standins;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Simulates a model engine with continuous batching, which prefills prompts, decodes from a fetched KV cache and cancels
 * requests. It counts the sequences that hold memory, so that tests detect memory that a router did not release.
 * Thread-safe.
 *
 * <p>Each output is {@code HASH:INDEX} with a hash of the prompt, so that a caller can check that an answer belongs to
 * its request, is complete and in order.
 */
public final class EngineStandIn {
    private static final int CHARS_PER_TOKEN = 4;
    private static final int MAX_CANCELLED_IDS = 10_000;

    private final EngineCosts costs;
    private final KvRegistry registry;
    private final TransferLink link;
    private final PrefillBatch prefills;
    private final DecodeBatch decodes;
    private final Set<String> cancelledIds = new LinkedHashSet<>();
    private final AtomicInteger crashes = new AtomicInteger();
    private volatile boolean refusing;
    private volatile String crashingText = "";
    private volatile long downMillis;
    private final RestartingServer server;

    /** Starts an engine on a free port of the loopback interface. */
    public EngineStandIn(EngineCosts costs, KvRegistry registry) {
        this.costs = costs;
        this.registry = registry;
        this.link = new TransferLink(costs.linkBytesPerMilli());
        this.prefills = new PrefillBatch(costs, registry);
        this.decodes = new DecodeBatch(costs);
        this.server = new RestartingServer(this::handle);
    }

    /** Returns the engine's base address. */
    public String url() {
        return server.url();
    }

    /** Returns the number of sequences that hold memory now. */
    public int heldSequences() {
        return decodes.heldSequences();
    }

    /** Returns the highest number of sequences that held memory at the same time. */
    public int maxHeldSequences() {
        return decodes.maxHeldSequences();
    }

    /** Returns the number of prompts whose prefill is queued or in progress. */
    public int pendingPrefills() {
        return prefills.size();
    }

    /** Sets whether the engine refuses new requests. Cancellations are always accepted. */
    public void refuse(boolean now) {
        refusing = now;
    }

    /**
     * Lets each later prompt that contains a text crash the engine while it is prefilled or decoded: all its connections close,
     * and it starts again at the same address after a time in milliseconds.
     */
    public void crashOn(String text, long restartMillis) {
        downMillis = restartMillis;
        crashingText = text;
    }

    /** Returns how often the engine has crashed. */
    public int crashes() {
        return crashes.get();
    }

    private boolean crashes(JsonNode request) {
        return !crashingText.isEmpty() && request.path("prompt").asText().contains(crashingText);
    }

    /** Crashes the engine, which starts again after a time in milliseconds. */
    public void crash(long restartMillis) {
        crashes.incrementAndGet();
        server.crash(restartMillis);
    }

    private IOException crash() {
        crash(downMillis);
        Pause.millis(downMillis);
        return new IOException("crashed on purpose");
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        String path = exchange.getRequestURI().getPath();
        if (exchange.getRequestMethod().equals("DELETE")) {
            cancel(path.substring(path.lastIndexOf('/') + 1));
            StandInServer.answerEmpty(exchange, 204);
            return;
        }
        if (refusing) {
            StandInServer.answerEmpty(exchange, 503);
            return;
        }
        JsonNode request = StandInServer.JSON.readTree(body);
        if (request.path("kv_transfer_params").path("do_remote_decode").asBoolean()) {
            prefill(exchange, request);
        } else {
            decode(exchange, request);
        }
    }

    private static String hash(JsonNode request) {
        return Integer.toHexString(request.path("prompt").asText().hashCode());
    }

    private static int tokens(JsonNode request) {
        return (request.path("prompt").asText().length() + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN;
    }

    private void cancel(String id) {
        synchronized (cancelledIds) {
            cancelledIds.add(id);
            if (cancelledIds.size() > MAX_CANCELLED_IDS) {
                cancelledIds.remove(cancelledIds.iterator().next());
            }
        }
        prefills.cancel(id);
        decodes.cancel(id);
    }

    private boolean isCancelled(String id) {
        synchronized (cancelledIds) {
            return cancelledIds.contains(id);
        }
    }

    private void prefill(HttpExchange exchange, JsonNode request) throws IOException {
        String id = request.path("request_id").asText();
        int tokens = tokens(request);
        String hash = hash(request);
        if (crashes(request)) {
            throw crash();
        }
        boolean done = !isCancelled(id)
                && prefills.prefill(
                        id,
                        request.path("prompt").asText(),
                        tokens,
                        request.path("priority").asInt());
        if (!done) {
            StandInServer.answerEmpty(exchange, 499);
            return;
        }
        registry.put(id, hash, tokens, costs.kvRetentionMillis());
        ObjectNode answer = StandInServer.JSON.createObjectNode();
        answer.putObject("kv_transfer_params").put("kv_id", id);
        StandInServer.answer(exchange, 200, answer);
    }

    private void decode(HttpExchange exchange, JsonNode request) throws IOException {
        String id = request.path("request_id").asText();
        DecodeBatch.Sequence sequence =
                decodes.add(id, request.path("max_tokens").asInt());
        if (sequence == null) {
            StandInServer.answerEmpty(exchange, 503);
            return;
        }
        try {
            var kv = registry.fetch(
                    request.path("kv_transfer_params").path("kv_id").asText());
            if (kv.isEmpty() || isCancelled(id)) {
                kv.ifPresent(unused -> registry.recordWasted(unused.tokens()));
                StandInServer.answerEmpty(exchange, kv.isEmpty() ? 410 : 499);
                return;
            }
            link.transfer(kv.get().tokens() * costs.kvBytesPerToken());
            exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
            exchange.sendResponseHeaders(200, 0);
            if (crashes(request)) {
                throw crash();
            }
            stream(exchange, sequence, kv.get().promptHash());
        } finally {
            decodes.remove(sequence);
        }
    }

    private void stream(HttpExchange exchange, DecodeBatch.Sequence sequence, String hash) throws IOException {
        decodes.start(sequence);
        int index = sequence.awaitNext();
        while (index >= 0) {
            ObjectNode event = StandInServer.JSON.createObjectNode();
            ObjectNode choice = event.putArray("choices").addObject().put("text", hash + ":" + index + " ");
            if (index == sequence.outputs() - 1) {
                choice.put("finish_reason", "length");
            }
            writeEvent(exchange, "data: " + event + "\n\n");
            index = sequence.awaitNext();
        }
        if (sequence.isComplete()) {
            writeEvent(exchange, "data: [DONE]\n\n");
        }
    }

    private static void writeEvent(HttpExchange exchange, String text) throws IOException {
        exchange.getResponseBody().write(text.getBytes(java.nio.charset.StandardCharsets.UTF_8));
        exchange.getResponseBody().flush();
    }

    /** Stops the engine immediately and cancels its work. */
    public void stop() {
        server.stop();
        prefills.stop();
        decodes.stop();
    }
}
