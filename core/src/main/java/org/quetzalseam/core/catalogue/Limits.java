package org.quetzalseam.core.catalogue;

/**
 * The limits of one catalogue entry. Immutable.
 *
 * @param ratePerSecond requests per second over the whole site
 * @param concurrency concurrent requests over the whole site
 * @param queueLength requests that may wait at one endpoint
 * @param queueWaitMillis longest wait in an endpoint's queue, in milliseconds
 * @param promptTokens longest prompt, in tokens
 * @param outputTokens maximum number of output tokens of one request
 */
public record Limits(
        double ratePerSecond,
        int concurrency,
        int queueLength,
        int queueWaitMillis,
        int promptTokens,
        int outputTokens) {}
