package org.quetzalseam.cli.load;

import org.quetzalseam.cli.site.Traffic;

/**
 * What became of one request. Immutable.
 *
 * @param traffic its kind
 * @param owner its owner
 * @param businessId id under which services count executions
 * @param outcome what the caller was told
 * @param code machine-readable reason, empty when answered
 * @param status HTTP status, 0 when there was none
 * @param retryAfter whether a refusal said when to come back
 * @param firstMillis time from the intended arrival to the first output, in milliseconds; negative when there was none
 * @param steadyMillis mean time between later outputs, in milliseconds
 * @param attempts times the caller sent it
 */
public record Sample(
        Traffic traffic,
        String owner,
        String businessId,
        CallerOutcome outcome,
        String code,
        int status,
        boolean retryAfter,
        double firstMillis,
        double steadyMillis,
        int attempts) {}
