package org.quetzalseam.gateway.protocol;

import org.jspecify.annotations.Nullable;

/**
 * The information that an entry adds to a request that it sends to an endpoint. Immutable.
 *
 * @param expectedEndpoint id of the endpoint that may run the request; any other endpoint refuses it
 * @param remainingMillis how long the answer is still of use, in milliseconds
 * @param prefillOnly whether the endpoint only prefills the prompt
 * @param kvSource location of the KV cache of the prompt, or null
 * @param booking id of the memory booked for the request, or null
 * @param resumeAfter id of the last event delivered, if a stream is resumed, else null
 */
public record Forwarding(
        String expectedEndpoint,
        long remainingMillis,
        boolean prefillOnly,
        @Nullable String kvSource,
        @Nullable String booking,
        @Nullable String resumeAfter) {
    /** Returns the information for a request that an endpoint runs completely. */
    public static Forwarding whole(String endpoint, long remainingMillis) {
        return new Forwarding(endpoint, remainingMillis, false, null, null, null);
    }

    /** Returns the information for a request that is only prefilled. */
    public static Forwarding prefill(String endpoint, long remainingMillis) {
        return new Forwarding(endpoint, remainingMillis, true, null, null, null);
    }
}
