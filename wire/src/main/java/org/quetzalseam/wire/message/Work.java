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
 */
public record Work(
        String owner,
        String entry,
        WorkClass workClass,
        int weight,
        int promptTokens,
        int outputTokens,
        long waitMillis,
        int queueLength) {}
