package org.quetzalseam.daemon.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodySubscribers;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.daemon.Json;
import org.quetzalseam.daemon.engine.EngineException.Code;
import org.quetzalseam.daemon.http.BoundedBody;
import org.quetzalseam.daemon.http.OneCallClient;
import org.quetzalseam.wire.FrameCodec;

/**
 * An engine over HTTP: completions in the usual JSON form with {@code request_id}, {@code priority} and
 * {@code kv_transfer_params}, streams as server-sent events, and cancellation by {@code DELETE} of a request.
 * Thread-safe.
 */
public final class HttpEngine implements Engine {
    private static final Duration PREFILL_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration CANCEL_TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_CANCEL_ATTEMPTS = 3;
    /** Longest answer to a prefill, in bytes: what a message to an entry can carry. */
    private static final int MAX_TRANSFER_BYTES = FrameCodec.MAX_FRAME_BYTES;

    /** Longest answer to a cancellation, in bytes, of which only the status counts. */
    private static final int MAX_CANCEL_BYTES = 64 * 1024;

    private static final int OK = 200;
    private static final int GONE = 410;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int CLIENT_CLOSED = 499;
    private static final int UNAVAILABLE = 503;

    private final URI completions;
    private final String requestsUrl;
    private final OneCallClient client;
    private final Map<String, EventStreamParser> streams = new ConcurrentHashMap<>();

    /** Creates a client of the engine at a base address such as {@code http://127.0.0.1:9000}. */
    public HttpEngine(String base) {
        this.completions = URI.create(base + "/v1/completions");
        this.requestsUrl = base + "/v1/requests/";
        this.client = new OneCallClient(base);
    }

    private static ObjectNode body(EngineRequest request) {
        try {
            JsonNode node = Json.read(request.body());
            if (node instanceof ObjectNode object) {
                object.put("request_id", request.id());
                object.put("priority", request.priority());
                return object;
            }
            throw new EngineException(Code.NOT_RUN, "the request isn't a JSON object", null);
        } catch (IOException e) {
            throw new EngineException(Code.NOT_RUN, "the request isn't JSON", e);
        }
    }

    private HttpRequest post(ObjectNode body) {
        return HttpRequest.newBuilder(completions)
                .header("Content-Type", "application/json")
                .POST(BodyPublishers.ofByteArray(Json.write(body)))
                .build();
    }

    @Override
    public CompletableFuture<byte[]> prefill(EngineRequest request) {
        ObjectNode body = body(request);
        body.put("stream", false);
        body.putObject("kv_transfer_params").put("do_remote_decode", true);
        return client.sendAsync(post(body), BoundedBody.ofAtMost(MAX_TRANSFER_BYTES))
                .orTimeout(PREFILL_TIMEOUT.toMillis(), java.util.concurrent.TimeUnit.MILLISECONDS)
                .handle((response, failure) -> {
                    if (failure != null) {
                        throw failure(failure);
                    }
                    return parseTransfer(response);
                });
    }

    private static byte[] parseTransfer(HttpResponse<byte[]> response) {
        if (response.statusCode() != OK) {
            throw failure(response.statusCode());
        }
        try {
            return Json.write(Json.read(response.body()).path("kv_transfer_params"));
        } catch (IOException e) {
            throw new EngineException(Code.FAILED, "the engine's answer isn't JSON", e);
        }
    }

    @Override
    public void decode(EngineRequest request, byte[] transfer, OutputSink sink) {
        Runnable onEnd = () -> streams.remove(request.id());
        EventStreamParser parser;
        HttpRequest post;
        try {
            ObjectNode body = body(request);
            parser = new EventStreamParser(sink, new OutputBound(mostTokens(body)), onEnd);
            body.put("stream", true);
            body.set("kv_transfer_params", Json.read(transfer));
            post = post(body);
        } catch (IOException | EngineException e) {
            sink.failed(new EngineException(Code.NOT_RUN, "the request can't be sent: " + e.getMessage(), e));
            return;
        }
        streams.put(request.id(), parser);
        CompletableFuture<Void> unused = client.sendAsync(post, info -> bodyOf(info, parser))
                .thenAccept(response -> {
                    if (response.statusCode() != OK) {
                        parser.fail(failure(response.statusCode()));
                    }
                })
                .exceptionally(failure -> {
                    parser.fail(failure(failure));
                    return null;
                });
    }

    /** Returns how many tokens a request asks for; entries always state it. */
    private static int mostTokens(ObjectNode body) {
        return body.path("max_tokens").asInt(Integer.MAX_VALUE);
    }

    private static HttpResponse.BodySubscriber<Integer> bodyOf(
            HttpResponse.ResponseInfo info, EventStreamParser parser) {
        return info.statusCode() == OK
                ? BodySubscribers.fromSubscriber(parser.byteSubscriber(), subscriber -> OK)
                : BodySubscribers.replacing(info.statusCode());
    }

    private static EngineException failure(Throwable failure) {
        Throwable cause = HttpClients.cause(failure);
        if (cause instanceof EngineException known) {
            return known;
        }
        Code code = cause instanceof ConnectException ? Code.NOT_RUN : Code.FAILED;
        return new EngineException(code, "the engine gave no answer: " + cause, cause);
    }

    private static EngineException failure(int status) {
        Code code = switch (status) {
            case GONE -> Code.TRANSFER_LOST;
            case TOO_MANY_REQUESTS, UNAVAILABLE -> Code.NOT_RUN;
            case CLIENT_CLOSED -> Code.CANCELLED;
            default -> Code.FAILED;
        };
        return new EngineException(code, "the engine answered " + status, null);
    }

    @Override
    public CompletableFuture<Void> cancel(String id) {
        EventStreamParser parser = streams.remove(id);
        if (parser != null) {
            parser.cancel();
        }
        HttpRequest delete = HttpRequest.newBuilder(URI.create(requestsUrl + id))
                .timeout(CANCEL_TIMEOUT)
                .DELETE()
                .build();
        return delete(delete, MAX_CANCEL_ATTEMPTS);
    }

    private CompletableFuture<Void> delete(HttpRequest delete, int attemptsLeft) {
        return client.sendAsync(delete, BoundedBody.ofAtMost(MAX_CANCEL_BYTES))
                .handle((response, failure) -> failure == null || attemptsLeft <= 1)
                .thenCompose(done -> done ? CompletableFuture.completedFuture(null) : delete(delete, attemptsLeft - 1));
    }
}
