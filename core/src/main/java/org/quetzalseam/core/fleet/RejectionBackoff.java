package org.quetzalseam.core.fleet;

/**
 * Excludes an engine for some time when it rejects work although it is registered as accepting it. This happens while
 * an engine changes its stage: its registration shows the change only at the end, some 12 seconds after the order. Not
 * thread-safe.
 *
 * <p>Without the exclusion, an engine that rejects everything looks like the least loaded one: each generation books
 * there, has its prompt prefilled, and is rejected, repeatedly.
 */
public final class RejectionBackoff {
    /**
     * Duration of the first exclusion, in nanoseconds: several times as long as a short fault of a connection or a
     * cache.
     */
    private static final long FIRST_EXCLUSION_NANOS = 2_000_000_000L;
    /**
     * Maximum number of doublings. The longest exclusion is thus 8 seconds; when it ends, a change of stage that began
     * at the first rejection is over.
     */
    private static final int MAX_DOUBLINGS = 2;

    private final int toleratedRejections;
    private int consecutiveRejections;
    private long excludedUntilNanos;
    private boolean excluded;

    /**
     * Creates the record of one engine, without rejections.
     *
     * @param toleratedRejections number of consecutive rejections that do not exclude the engine: 0 where only the
     *     engine itself can be the cause, 1 where it may be another engine
     */
    public RejectionBackoff(int toleratedRejections) {
        this.toleratedRejections = toleratedRejections;
    }

    /** Records a rejection. It does not count during an exclusion, because the work may have been sent before that. */
    public void recordRejection(long now) {
        if (isExcluded(now)) {
            return;
        }
        consecutiveRejections++;
        if (consecutiveRejections > toleratedRejections) {
            int doublings = Math.min(consecutiveRejections - toleratedRejections - 1, MAX_DOUBLINGS);
            excludedUntilNanos = now + (FIRST_EXCLUSION_NANOS << doublings);
            excluded = true;
        }
    }

    /** Records that the engine accepted work, which ends its exclusion. */
    public void recordAcceptance() {
        consecutiveRejections = 0;
        excluded = false;
    }

    /** Returns whether other engines should be preferred to this one. */
    public boolean isExcluded(long now) {
        return excluded && now - excludedUntilNanos < 0;
    }
}
