package org.quetzalseam.daemon.service;

import java.net.URI;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.quetzalseam.daemon.service.ServiceException.Code;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.runtime.Service;

/** Calls a plain service over HTTP. Each call is sent once at most. Thread-safe. */
public final class HttpServiceClient implements Service {
    /** Headers that apply to a single connection, or that the client sets itself. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "content-length",
            "date",
            "expect",
            "host",
            "keep-alive",
            "quetzalseam-call-id",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private final SendOnceClient client;

    /** Creates a client of the service at a base address such as {@code http://127.0.0.1:9100}. */
    public HttpServiceClient(String base) {
        this.client = new SendOnceClient(URI.create(base));
    }

    @Override
    public void start() {
        client.start();
    }

    @Override
    public void stop() {
        client.stop();
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
            return client.call(call);
        } catch (IllegalArgumentException e) {
            return CompletableFuture.failedFuture(
                    new ServiceException(Code.NOT_RUN, "the call can't be expressed in HTTP: " + e.getMessage(), e));
        }
    }
}
