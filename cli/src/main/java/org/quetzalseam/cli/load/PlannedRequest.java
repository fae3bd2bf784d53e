package org.quetzalseam.cli.load;

import org.quetzalseam.cli.site.Traffic;

/**
 * One request that is to be sent. Immutable.
 *
 * @param number its number, from 0
 * @param atNanos when it is to arrive, from the start of the run
 * @param traffic its kind
 * @param owner its owner
 * @param promptTokens length of its prompt
 * @param outputTokens length of its answer
 */
public record PlannedRequest(
        long number, long atNanos, Traffic traffic, String owner, int promptTokens, int outputTokens) {}
