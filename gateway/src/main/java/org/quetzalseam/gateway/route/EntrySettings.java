package org.quetzalseam.gateway.route;

import org.quetzalseam.gateway.dispatch.DispatchSettings;

/**
 * The settings of an entry. Immutable.
 *
 * @param name the process's name
 * @param zone the availability zone of the process
 * @param retryRatio retries per request that all entries together may make at a service
 * @param retrySlack retries per window that all entries together may make in addition
 * @param retryWindowMillis the window over which retries are counted
 * @param bookedDeviations standard deviations above a generation's median length for which memory stays booked
 * @param admittedDeviations standard deviations above the median length for which memory must be free when a generation is
 *     admitted
 * @param prefillShare share of a service's engines that prefill prompts, assumed until load has been observed
 * @param firstStart whether the entire site starts for the first time
 * @param dispatch settings of the places that dispatchers give
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
        boolean firstStart,
        DispatchSettings dispatch) {}
