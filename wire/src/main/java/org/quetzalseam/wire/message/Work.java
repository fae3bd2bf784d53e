package org.quetzalseam.wire.message;

import org.quetzalseam.core.admission.WorkClass;

/**
 * The properties of an attempt by which an endpoint queues it. They come from the catalogue in force at the entry, so
 * that endpoints need no catalogue of their own.
 *
 * @param owner name of the owner
 * @param entry name of the catalogue entry
 * @param workClass class of the work
 * @param weight the owner's weight
 * @param promptTokens length of the prompt in tokens; 0 for services
 * @param outputTokens maximum number of tokens to generate; 0 for services
 * @param waitMillis longest wait in the queue, in milliseconds
 * @param queueLength maximum number of attempts of this catalogue entry in the endpoint's queue
 * @param probe the request's fingerprint if it has crashed back ends and is sent to find out whether it still does; else empty
 */
public record Work(
        String owner,
        String entry,
        WorkClass workClass,
        int weight,
        int promptTokens,
        int outputTokens,
        long waitMillis,
        int queueLength,
        String probe) {
    /** Returns whether the request is sent to find out whether it still crashes back ends. */
    public boolean isProbe() {
        return !probe.isEmpty();
    }

    /** Creates work that is no probe. */
    public Work(
            String owner,
            String entry,
            WorkClass workClass,
            int weight,
            int promptTokens,
            int outputTokens,
            long waitMillis,
            int queueLength) {
        this(owner, entry, workClass, weight, promptTokens, outputTokens, waitMillis, queueLength, "");
    }
}
