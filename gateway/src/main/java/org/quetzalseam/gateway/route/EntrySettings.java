package org.quetzalseam.gateway.route;

/**
 * What an entry is told by its settings. Immutable.
 *
 * @param name the process's name
 * @param zone its availability zone
 * @param retryRatio retries for each request that all entries together may make at a service
 * @param retrySlack retries in a window that all entries together may make besides
 * @param retryWindowMillis the window over which retries are counted
 * @param bookedDeviations standard deviations above a generation's median length that stay booked
 * @param admittedDeviations standard deviations above it that must be free when a generation is admitted
 * @param prefillShare share of a service's engines that read prompts, assumed until load has been seen
 * @param firstStart whether the whole site starts for the first time
 */
public record EntrySettings(
        String name,
        String zone,
        double retryRatio,
        double retrySlack,
        long retryWindowMillis,
        double bookedDeviations,
        double admittedDeviations,
        double prefillShare,
        boolean firstStart) {}
