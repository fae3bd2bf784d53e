package org.quetzalseam.core.routing;

/**
 * What a caller may send and how long it may take. Immutable.
 *
 * @param headerBytes the longest header section, in bytes
 * @param bodyBytes the longest body, in bytes
 * @param headerMillis how long a header section may take to arrive
 * @param idleMillis how long a connection may stay without a request
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {
    /** What holds before a desired state is known: common defaults of HTTP servers. */
    public static final CallerLimits DEFAULT = new CallerLimits(16 * 1024, 4L * 1024 * 1024, 10_000, 60_000);
}
