package org.quetzalseam.gateway.protocol;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.quetzalseam.core.fleet.Stage;

/**
 * How a platform writes what the gateway means: header names, calls to engines and their replies. Implementations translate
 * only and are stateless.
 */
public interface Protocol {
    /** Returns the header that names a try of a request, which replies repeat. */
    String idHeader();

    /** Returns what a request says of itself. */
    RequestFacts facts(HttpHeaders headers);

    /** Takes out what callers may not set, and writes what the entry adds. */
    void rewriteHeaders(HttpHeaders headers, Forwarding forwarding);

    /** Returns what a reply says beside its status. */
    ReplyFacts facts(HttpResponse reply);

    /** Tells the caller when to come back. */
    void setRetryAfter(HttpHeaders headers, long millis);

    /** Returns a call that books decode memory and a place. */
    FullHttpRequest bookMemory(int tokens, long millis);

    /** Returns the id of the booking from the reply to {@link #bookMemory}. */
    Optional<String> bookingId(String body);

    /** Returns a call that gives a booking back. */
    FullHttpRequest releaseBooking(String reservation);

    /** Returns the handle of a KV cache from the reply to a prefill. */
    Optional<String> kvHandle(String body);

    /** Returns where a KV cache lies, as {@link Forwarding#kvSource} takes it. */
    String kvSource(String address, String handle);

    /** Returns a call that drops a KV cache. */
    FullHttpRequest dropKv(String handle);

    /** Returns a call that asks for an engine's load; another endpoint at its address refuses. */
    FullHttpRequest reportLoad(String expectedEndpoint);

    /** Returns the load from the reply to {@link #reportLoad}, if it says which life of the engine it is of. */
    Optional<EngineLoad> load(String body);

    /** Returns a call that orders an engine to another stage. */
    FullHttpRequest changeStage(Stage stage, String holder, long epoch, long ordersSeen, String expectedEndpoint);
}
