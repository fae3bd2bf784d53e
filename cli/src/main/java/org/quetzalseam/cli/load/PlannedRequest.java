package org.quetzalseam.cli.load;

import org.quetzalseam.cli.site.Traffic;

/**
 * A scheduled request. Immutable.
 *
 * @param number sequence number in the schedule, from 0
 * @param atNanos scheduled arrival time, in nanoseconds after the start of the run
 * @param traffic kind of the request
 * @param owner owner that sends it
 * @param promptTokens prompt length in tokens
 * @param outputTokens output length in tokens
 */
public record PlannedRequest(
        long number, long atNanos, Traffic traffic, String owner, int promptTokens, int outputTokens) {}
