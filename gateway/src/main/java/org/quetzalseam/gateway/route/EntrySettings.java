package org.quetzalseam.gateway.route;

/**
 * What an entry is told by its settings. Immutable.
 *
 * @param name the process's name
 * @param zone its availability zone
 * @param retryRatio retries for each request that all entries together may make at a service
 * @param retrySlack retries in a window that all entries together may make besides
 * @param retryWindowMillis the window over which retries are counted
 * @param outputFactor booked output tokens for each token of a caller's estimate
 * @param prefillShare share of a service's engines that read prompts, assumed until load has been seen
 */
public record EntrySettings(
        String name,
        String zone,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        double outputFactor,
        double prefillShare) {}
