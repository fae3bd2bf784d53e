package org.quetzalseam.gateway.http;

import org.quetzalseam.http.Descriptors;

/**
 * How many connections an entry accepts, and how much memory those of callers may use beside the bodies of requests. Immutable.
 *
 * @param callers most connections of callers
 * @param operators most connections at each address for status checks and pages of text
 * @param entries most connections of other entries
 * @param heldBytes most bytes that all callers' connections hold: received and not decoded, and answered and not read
 * @param headBytes most memory for the heads of all requests in progress, in bytes
 */
public record ConnectionLimits(int callers, int operators, int entries, long heldBytes, long headBytes) {
    /** Parts of the descriptors of the process; the rest is for files, endpoints and the store. */
    private static final double CALLERS_SHARE = 0.625;

    private static final double ENTRIES_SHARE = 0.125;
    private static final double OPERATORS_SHARE = 0.03;
    /** A status check a second, some that read the metrics, and operators. */
    private static final int MOST_OPERATORS = 64;
    /** As many entries as a site is designed for, each with a connection that opens before the one before it has ended. */
    private static final int MOST_ENTRIES = 800;
    /** Part of the heap for either of the two bounds of memory. */
    private static final double MEMORY_SHARE = 0.25;

    /** Returns the default limits of a process that may open so many descriptors. */
    public static ConnectionLimits of(int descriptors) {
        long bytes = (long) (Runtime.getRuntime().maxMemory() * MEMORY_SHARE);
        return new ConnectionLimits(
                share(descriptors, CALLERS_SHARE),
                Math.min(MOST_OPERATORS, share(descriptors, OPERATORS_SHARE)),
                Math.min(MOST_ENTRIES, share(descriptors, ENTRIES_SHARE)),
                bytes,
                bytes);
    }

    /** Returns the default limits of this process. */
    public static ConnectionLimits ofProcess() {
        return of(Descriptors.limit());
    }

    private static int share(int descriptors, double share) {
        return Math.max(1, (int) (descriptors * share));
    }
}
