package org.quetzalseam.daemon;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.CompletionException;

/** Creates JDK HTTP clients, all with the same configuration. Thread-safe. */
public final class HttpClients {
    /** Timeout for opening a connection: long enough for two lost SYN packets to be retransmitted. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private HttpClients() {}

    /** Returns a new client. */
    public static HttpClient create() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(CONNECT_TIMEOUT)
                .followRedirects(HttpClient.Redirect.NEVER)
                .build();
    }

    /** Returns the cause of a failed asynchronous call, without the {@link CompletionException} that futures wrap around it. */
    public static Throwable cause(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
