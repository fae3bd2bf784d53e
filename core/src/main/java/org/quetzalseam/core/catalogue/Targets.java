package org.quetzalseam.core.catalogue;

/**
 * The two latency targets of one catalogue entry. Immutable.
 *
 * @param firstOutputMillis target for the time from the arrival of a request to its first output, in milliseconds
 * @param steadyOutputMillis target for the mean time between later outputs, in milliseconds
 */
public record Targets(int firstOutputMillis, int steadyOutputMillis) {
    /** Returns how long a request with so many outputs takes if it just meets the targets, in milliseconds. */
    public long durationMillis(int outputs) {
        return firstOutputMillis + (long) Math.max(0, outputs - 1) * steadyOutputMillis;
    }
}
