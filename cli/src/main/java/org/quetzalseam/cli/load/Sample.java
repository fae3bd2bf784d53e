package org.quetzalseam.cli.load;

import org.quetzalseam.cli.site.Traffic;

/**
 * The outcome of one request as its caller observed it. Immutable.
 *
 * @param traffic kind of the request
 * @param owner owner that sent it
 * @param businessId id under which services count executions
 * @param outcome what the caller learned of the request
 * @param code machine-readable reason, empty when answered
 * @param status HTTP status, 0 when there was none
 * @param retryAfter whether a refusal carried a {@code Retry-After} header
 * @param firstMillis time from the scheduled arrival to the first output, in milliseconds; negative when there was none
 * @param steadyMillis mean time between successive outputs, in milliseconds
 * @param attempts number of times that the caller sent the request
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
