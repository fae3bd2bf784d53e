package org.quetzalseam.core.dispatch;

/**
 * Raises the limit step by step while the mean response time is close to the quickest, and lowers it in proportion when the mean exceeds half
 * of the objective, but not below the number that the endpoint runs at once: fewer would leave it idle without making it faster. Not
 * thread-safe.
 */
final class ResponseTimeLimit implements LimitControl {
    /** A small first limit: places that an earlier dispatcher gave may still be in use. */
    private static final double FIRST_LIMIT = 2;
    /**
     * Part of the objective that the mean response time must not exceed. The other half is left for the variance of work, for the
     * network and for the wait in the queue.
     */
    private static final double MOST_OF_OBJECTIVE = 0.5;
    /**
     * Multiple of the quickest mean up to which the first growth goes on, for endpoints whose work takes more than the part of the objective
     * below. Later, the quickest mean includes time in the endpoint's own queue, and growth relative to it would not end.
     */
    private static final double GROWTH_OF_QUICKEST = 2;
    /** Weight of one answer in the mean: about one round of a small endpoint, so that a slow phase of 600 ms is noticed within it. */
    private static final double WEIGHT = 0.2;
    /**
     * Part of the objective up to which the limit always grows. Beyond it requests queue at the endpoint, where they can't be reordered and
     * are late when a slow phase begins; the rest up to half leaves room for that.
     */
    private static final double GROWTH_OF_OBJECTIVE = 0.25;
    /** Least part of the limit that is left by one step down; one very long answer does not empty the endpoint. */
    private static final double LEAST_LEFT = 0.6;
    /** Part of the requests at the endpoint that is left as the limit after a rejection. */
    private static final double LEFT_AFTER_REJECTION = 0.8;

    private final SlotEstimate slots = new SlotEstimate();
    private double limit = FIRST_LIMIT;
    private double mean;
    private boolean first = true;
    private long loweredAt;
    private boolean lowered;

    @Override
    public int limit() {
        return (int) limit;
    }

    @Override
    public int running() {
        return (int) Math.max(1, Math.min(limit, slots.slots()));
    }

    @Override
    public long meanNanos() {
        return (long) mean;
    }

    @Override
    public void answered(long responseNanos, long objectiveNanos, boolean full, long now) {
        mean = mean == 0 ? responseNanos : mean + WEIGHT * (responseNanos - mean);
        if (full) {
            slots.add(mean, limit, now);
        }
        if (mean > MOST_OF_OBJECTIVE * objectiveNanos) {
            lower(Math.max(LEAST_LEFT, MOST_OF_OBJECTIVE * objectiveNanos / mean), now);
        } else if (full && mean < growsBelow(objectiveNanos)) {
            limit += first ? 1 : 1 / limit;
        } else if (full) {
            first = false;
        }
    }

    private double growsBelow(long objectiveNanos) {
        double byObjective = GROWTH_OF_OBJECTIVE * objectiveNanos;
        return first ? Math.max(byObjective, GROWTH_OF_QUICKEST * slots.quickestNanos()) : byObjective;
    }

    /** Lowers at most once in a mean response time: answers to requests sent before the last step say nothing about it. */
    private void lower(double part, long now) {
        first = false;
        if (!lowered || now - loweredAt > mean) {
            limit = Math.max(Math.min(limit, slots.slots()), limit * part);
            lowered = true;
            loweredAt = now;
        }
    }

    @Override
    public void rejected(int inUse, long now) {
        first = false;
        slots.forget();
        limit = Math.max(1, Math.min(limit, inUse) * LEFT_AFTER_REJECTION);
        lowered = true;
        loweredAt = now;
    }

    @Override
    public void failed() {
        first = true;
        slots.forget();
        limit = 1;
    }
}
