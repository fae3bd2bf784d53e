package org.quetzalseam.core.fleet;

/**
 * How long an engine is left out that turns work away although it is listed as taking it, as while it changes stage: its
 * registration tells of a change only at the end, some twelve seconds after the order. Not thread-safe.
 *
 * <p>Without it, an engine that takes nothing looks like the emptiest: each generation books there, has its prompt
 * read, and is turned away, again and again.
 */
public final class RejectionBackoff {
    /** How long an engine is left out at first, in nanoseconds: several times what a short fault of a link or a cache takes. */
    private static final long FIRST_EXCLUSION_NANOS = 2_000_000_000L;
    /** Doublings at the most: eight seconds, after which the change of a stage is over that was met at its beginning. */
    private static final int MAX_DOUBLINGS = 2;

    private final int toleratedRejections;
    private int consecutiveRejections;
    private long excludedUntilNanos;
    private boolean excluded;

    /**
     * Creates a record.
     *
     * @param toleratedRejections how many in a row say nothing of this engine: 0 where it answers for itself alone, 1 where another engine
     *     may have been the cause
     */
    public RejectionBackoff(int tolerated) {
        this.toleratedRejections = tolerated;
    }

    /** Notes that work was turned away. What was sent before the engine was left out counts as one with it. */
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

    /** Notes that work was taken. */
    public void recordAcceptance() {
        consecutiveRejections = 0;
        excluded = false;
    }

    /** Returns whether other engines are to be used before it. */
    public boolean isExcluded(long now) {
        return excluded && now - excludedUntilNanos < 0;
    }
}
