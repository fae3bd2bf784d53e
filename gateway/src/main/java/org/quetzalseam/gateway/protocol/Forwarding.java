package org.quetzalseam.gateway.protocol;

import org.jspecify.annotations.Nullable;

/**
 * What an entry adds to a request that it sends to an endpoint. Immutable.
 *
 * @param expectedEndpoint id of the endpoint that may run it; any other refuses
 * @param remainingMillis how long the answer is of use
 * @param prefillOnly whether only the prompt is to be read
 * @param kvSource where the KV cache of its prompt lies, or null
 * @param booking the memory booked for it, or null
 * @param resumeAfter the last event delivered, when a stream goes on, or null
 */
public record Forwarding(
        String expectedEndpoint,
        long remainingMillis,
        boolean prefillOnly,
        @Nullable String kvSource,
        @Nullable String booking,
        @Nullable String resumeAfter) {
    /** Returns what is added to a request that an endpoint runs as a whole. */
    public static Forwarding whole(String endpoint, long patienceMillis) {
        return new Forwarding(endpoint, patienceMillis, false, null, null, null);
    }

    /** Returns what is added when only the prompt is to be read. */
    public static Forwarding prefill(String endpoint, long patienceMillis) {
        return new Forwarding(endpoint, patienceMillis, true, null, null, null);
    }
}
