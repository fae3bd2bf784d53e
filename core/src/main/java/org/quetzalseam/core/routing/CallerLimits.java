package org.quetzalseam.core.routing;

/**
 * Limits on the size and the duration of what a caller sends. Immutable.
 *
 * @param headerBytes maximum size of a header section, in bytes
 * @param bodyBytes maximum size of a body, in bytes
 * @param headerMillis maximum time for the arrival of a header section, in milliseconds
 * @param idleMillis maximum time that a connection stays open without a request, in milliseconds
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {
    /** Limits used until a desired state is known; the values are common defaults of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4L * 1024 * 1024, 10_000, 60_000);
}
