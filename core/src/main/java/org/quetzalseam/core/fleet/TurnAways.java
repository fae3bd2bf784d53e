package org.quetzalseam.core.fleet;

/**
 * How long an engine is left out that turns work away although it is listed as taking it, as while it changes stage: its
 * registration tells of a change only at the end, some twelve seconds after the order. Not thread-safe.
 *
 * <p>Without it, an engine that takes nothing looks like the emptiest: each generation books there, has its prompt
 * read, and is turned away, again and again.
 */
public final class TurnAways {
    /** How long an engine is left out at first, in nanoseconds: several times what a short fault of a link or a cache takes. */
    private static final long FIRST_NANOS = 2_000_000_000L;
    /** Doublings at the most: eight seconds, after which the change of a stage is over that was met at its beginning. */
    private static final int MOST_DOUBLINGS = 2;

    private final int tolerated;
    private int inARow;
    private long leftOutUntil;
    private boolean leftOut;

    /**
     * Creates a record.
     *
     * @param tolerated how many in a row say nothing of this engine: 0 where it answers for itself alone, 1 where another engine
     *     may have been the cause
     */
    public TurnAways(int tolerated) {
        this.tolerated = tolerated;
    }

    /** Notes that work was turned away. What was sent before the engine was left out counts as one with it. */
    public void turnedAway(long now) {
        if (leftOut(now)) {
            return;
        }
        inARow++;
        if (inARow > tolerated) {
            int doublings = Math.min(inARow - tolerated - 1, MOST_DOUBLINGS);
            leftOutUntil = now + (FIRST_NANOS << doublings);
            leftOut = true;
        }
    }

    /** Notes that work was taken. */
    public void taken() {
        inARow = 0;
        leftOut = false;
    }

    /** Returns whether other engines are to be used before it. */
    public boolean leftOut(long now) {
        return leftOut && now - leftOutUntil < 0;
    }
}
