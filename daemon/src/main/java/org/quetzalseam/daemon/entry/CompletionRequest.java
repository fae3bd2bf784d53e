package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.catalogue.EntrySpec;
import org.quetzalseam.core.catalogue.ModelSpec;
import org.quetzalseam.daemon.RequestFingerprint;

/**
 * A validated completion request. Immutable; the array is not copied and must not be changed.
 *
 * @param requestId the request's id
 * @param entry the catalogue entry that admits it
 * @param model the model
 * @param weight the owner's weight
 * @param promptTokens estimated length of the prompt, in tokens
 * @param outputTokens maximum number of tokens to generate
 * @param affinity hash of the start of the prompt
 * @param deadlineMillis maximum time that the caller waits for the first output, in milliseconds
 * @param body the request to the engine, as JSON
 */
public record CompletionRequest(
        RequestId requestId,
        EntrySpec entry,
        ModelSpec model,
        int weight,
        int promptTokens,
        int outputTokens,
        long affinity,
        long deadlineMillis,
        byte[] body) {
    /** Returns the digest that is the same for each repetition of this request. */
    public String fingerprint() {
        return RequestFingerprint.of(entry.owner(), entry.name(), "", "", body);
    }
}
