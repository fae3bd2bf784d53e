package org.quetzalseam.gateway.protocol;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Stage;

/**
 * Translates between the gateway and a platform's wire format: header names, calls to engines and their replies.
 * Implementations only translate and are stateless.
 */
public interface Protocol {
    /** Returns the name of the header that identifies an attempt of a request; replies repeat it. */
    String idHeader();

    /** Returns the facts that a request states in its headers. */
    RequestFacts facts(HttpHeaders headers);

    /** Removes headers that callers may not set, and writes those that the entry adds. */
    void rewriteHeaders(HttpHeaders headers, Forwarding forwarding);

    /**
     * Removes the team that a caller may have stated, and states the given one instead, if any.
     *
     * @param team the team that makes the request, or null
     */
    void setTeam(HttpHeaders headers, @Nullable String team);

    /** Returns the facts that a reply states beside its status. */
    ReplyFacts facts(HttpResponse reply);

    /** Sets the time after which the caller may retry. */
    void setRetryAfter(HttpHeaders headers, long millis);

    /**
     * Returns a call that books decode memory and a slot; {@code millis} is how long the booking holds before its request
     * arrives.
     */
    FullHttpRequest bookMemory(int tokens, long millis);

    /** Returns the id of a booking from the reply to {@link #bookMemory}. */
    Optional<String> bookingId(String body);

    /** Returns a call that releases a booking. */
    FullHttpRequest releaseBooking(String reservation);

    /** Returns the handle of a KV cache from the reply to a prefill. */
    Optional<String> kvHandle(String body);

    /** Returns the location of a KV cache, as {@link Forwarding#kvSource} takes it. */
    String kvSource(String address, String handle);

    /** Returns a call that drops a KV cache. */
    FullHttpRequest dropKv(String handle);

    /** Returns a call that asks for an engine's load; any other endpoint at that address refuses it. */
    FullHttpRequest reportLoad(String expectedEndpoint);

    /** Returns the load from the reply to {@link #reportLoad}, if the reply identifies the engine's incarnation. */
    Optional<EngineLoad> load(String body);

    /** Returns a call that orders an engine to change to another stage. */
    FullHttpRequest changeStage(Stage stage, String holder, long epoch, long ordersSeen, String expectedEndpoint);
}
