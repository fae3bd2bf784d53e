package org.quetzalseam.daemon.service;

import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.quetzalseam.daemon.HttpClients;
import org.quetzalseam.daemon.service.ServiceException.Code;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.runtime.Service;

/**
 * Calls a plain service over HTTP. Calls that may run twice use pooled connections, on which the JDK's client repeats a
 * call when its connection breaks. A call that must not run twice is sent once, over a connection of its own.
 * Thread-safe.
 */
public final class HttpServiceClient implements Service {
    /** Headers that apply to a single connection, or that the client sets itself. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "content-length",
            "date",
            "expect",
            "host",
            "keep-alive",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final String base;
    private final HttpClient pooled;
    private final SingleUseClient singleUse;

    /** Creates a client of the service at a base address such as {@code http://127.0.0.1:9100}. */
    public HttpServiceClient(String base) {
        this.base = base;
        this.pooled = HttpClients.create();
        this.singleUse = new SingleUseClient(URI.create(base));
    }

    @Override
    public void start() {
        singleUse.start();
    }

    @Override
    public void stop() {
        singleUse.stop();
    }

    /** Returns whether a header may be forwarded between caller and service. */
    public static boolean isForwarded(String header) {
        return !NOT_FORWARDED.contains(header.toLowerCase(Locale.ROOT));
    }

    /** Returns the headers of a call that are forwarded to the service. */
    static Map<String, String> forwardedHeaders(Call call) {
        return call.headers().entrySet().stream()
                .filter(header -> isForwarded(header.getKey()))
                .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
    }

    /** Makes a call. The future fails with a {@link ServiceException}. */
    public CompletableFuture<ServiceAnswer> call(Call call) {
        try {
            return call.idempotent() ? pooledCall(call) : singleUse.call(call);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(
                    new ServiceException(Code.NOT_RUN, "the call can't be expressed in HTTP: " + e.getMessage(), e));
        }
    }

    private CompletableFuture<ServiceAnswer> pooledCall(Call call) {
        CompletableFuture<HttpResponse<byte[]>> response = pooled.sendAsync(request(call), BodyHandlers.ofByteArray());
        return response.handle((answer, failure) -> {
            if (failure != null) {
                throw failure(failure);
            }
            return answer(answer);
        });
    }

    private HttpRequest request(Call call) {
        HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create(base + call.path()))
                .timeout(Duration.ofMillis(Math.max(1, call.timeoutMillis())))
                .method(call.method(), BodyPublishers.ofByteArray(call.body()));
        forwardedHeaders(call).forEach(builder::setHeader);
        return builder.build();
    }

    private static ServiceAnswer answer(HttpResponse<byte[]> response) {
        Map<String, String> headers = new HashMap<>();
        response.headers().map().forEach((name, values) -> {
            if (isForwarded(name) && !name.startsWith(":")) {
                headers.put(name, String.join(", ", values));
            }
        });
        return new ServiceAnswer(response.statusCode(), headers, response.body());
    }

    private static ServiceException failure(Throwable failure) {
        Throwable cause = HttpClients.cause(failure);
        Code code = Code.NO_ANSWER;
        if (cause instanceof ConnectException || cause instanceof HttpConnectTimeoutException) {
            code = Code.NOT_RUN;
        } else if (cause instanceof HttpTimeoutException) {
            code = Code.TIMEOUT;
        }
        return new ServiceException(code, "the service gave no answer: " + cause.getMessage(), cause);
    }
}
