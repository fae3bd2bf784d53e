package org.quetzalseam.daemon;

import java.net.http.HttpClient;
import java.time.Duration;
import java.util.concurrent.CompletionException;

/** Makes the JDK's HTTP clients, all with the same configuration. Thread-safe. */
public final class HttpClients {
    /** How long a connection may take to be made: in it two lost opening packets are sent again. */
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

    /** Returns what made an asynchronous call fail, without the wrapping that futures add. */
    public static Throwable cause(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
