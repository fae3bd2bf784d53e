package org.quetzalseam.core.crash;

import java.util.concurrent.TimeUnit;

/**
 * Decides when a suspect may be probed: a few times soon after the suspicion, then at long intervals. Not thread-safe. Times
 * are monotonic nanoseconds of this process.
 */
public final class ProbeAllowance {
    /** Time for which a probe counts, in nanoseconds. */
    public static final long PROBE_KEEP_NANOS = TimeUnit.MINUTES.toNanos(10);
    /** Time between two probes, in nanoseconds: about as long as endpoints take to start, so that not many are down at once. */
    public static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);
    /**
     * Maximum number of probes of a suspect by all entries together: one fewer than its callers may cost the site, because a
     * request that was sent before the third crash was known may still arrive.
     */
    private static final int MAX_PROBES = 2;
    /** Maximum number of probes in {@link #PROBE_KEEP_NANOS} after the first ones have failed. */
    private static final int MAX_LATER_PROBES = 1;
    /**
     * Time from the suspicion to the first probe, in nanoseconds: runs of the request that are under way may end meanwhile, and a
     * request that is suspect by chance loses little.
     */
    private static final long FIRST_PROBE_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private long nextProbeAt;
    private int maxProbes = MAX_PROBES;

    /** Creates the allowance of a request that has just become a suspect. */
    public ProbeAllowance(long now) {
        nextProbeAt = now + FIRST_PROBE_NANOS;
    }

    /** Returns how long it takes until the next probe may be sent, in nanoseconds; 0 or less if it may be sent now. */
    public long waitNanos(long now) {
        return nextProbeAt - now;
    }

    /** Returns whether the probes that were sent are as many as are allowed. If so, the next one is far off. */
    public boolean isUsedUp(int sentProbes, long now) {
        if (covers(sentProbes + 1)) {
            return false;
        }
        maxProbes = MAX_LATER_PROBES;
        postpone(PROBE_KEEP_NANOS, now);
        return true;
    }

    /** Returns whether the probes that count, one that is about to be sent among them, are no more than are allowed. */
    public boolean covers(int probes) {
        return probes <= maxProbes;
    }

    /** Allows no probe for some time. */
    public void postpone(long nanos, long now) {
        nextProbeAt = now + nanos;
    }
}
