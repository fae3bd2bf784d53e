package org.quetzalseam.daemon.entry;

import java.util.Map;
import java.util.Optional;
import org.quetzalseam.core.catalogue.EntrySpec;
import org.quetzalseam.core.catalogue.ServiceSpec;
import org.quetzalseam.daemon.RequestFingerprint;

/**
 * A validated call of a plain service. Immutable; the array is not copied and must not be changed.
 *
 * @param requestId the request's id
 * @param entry the catalogue entry that admits it
 * @param service the service
 * @param weight the owner's weight
 * @param method HTTP method
 * @param path path and query below the service
 * @param headers headers to forward
 * @param body request body
 * @param key the caller's idempotency key
 * @param deadlineMillis maximum time that the caller waits, in milliseconds
 */
public record ServiceRequest(
        RequestId requestId,
        EntrySpec entry,
        ServiceSpec service,
        int weight,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        Optional<String> key,
        long deadlineMillis) {
    /** Copies the headers. */
    public ServiceRequest {
        headers = Map.copyOf(headers);
    }

    /** Returns the digest that is the same for each repetition of this request. */
    public String fingerprint() {
        return RequestFingerprint.of(entry.owner(), entry.name(), method, path, body);
    }
}
