package org.quetzalseam.daemon;

import java.time.Duration;
import java.util.concurrent.CompletionException;

/** What the HTTP clients have in common. Stateless. */
public final class HttpClients {
    /** Timeout for opening a connection: long enough for two lost SYN packets to be retransmitted. */
    public static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

    private HttpClients() {}

    /** Returns the cause of a failed asynchronous call, without the {@link CompletionException} that futures wrap around it. */
    public static Throwable cause(Throwable failure) {
        Throwable cause = failure.getCause();
        return failure instanceof CompletionException && cause != null ? cause : failure;
    }
}
