package org.quetzalseam.core.generation;

/**
 * How many prompt tokens one of several entries begins in a time, so that all together begin about what the engines can read. Not
 * thread-safe.
 *
 * <p>An answer tells of a queue as it was when its prompt joined it. Entries that go by that alone all begin too much until
 * the first slow answers come, and then too little. So each has a share of what the pool can read: an equal one in any case, and
 * more while answers show that others leave theirs. A prompt may be larger than what is left of the share; its rest is a debt.
 */
final class EntryPrefillShare {
    /** Change with an answer that found a short queue: doubles in some four. */
    private static final double INCREASE_FACTOR = 1.2;
    /** Change with an answer that found a long queue: halves in three, as a queue grows faster than it is worked off. */
    private static final double DECREASE_FACTOR = 0.8;
    /** Part of the time for a reading in time below which the queue counts as short. */
    private static final double SHORT_QUEUE_SHARE = 0.5;
    /** Part of it above which the queue counts as long: what is left is for prompts longer than usual. */
    private static final double LONG_QUEUE_SHARE = 0.75;
    /** The same two in multiples of a reading without a queue, where that alone takes most of the time. */
    private static final double SHORT_QUEUE_PREFILLS = 1.5;

    private static final double LONG_QUEUE_PREFILLS = 3;
    /** Multiple of the equal share at first; takes some ten answers to reach what the load allows. */
    private static final double FIRST_MULTIPLE = 2;

    /** The least multiple: a queue that is too long has to become shorter, not only to grow no more. */
    private static final double MIN_MULTIPLE = 0.5;

    /** Age of a long answer from which it says nothing, in bearable waits: some queues' lengths. */
    private static final double STALE_BACKLOGS = 4;

    private int entries = 1;
    private double multiple = FIRST_MULTIPLE;
    private double tokens;
    private long filledAt;
    private boolean filled;
    private long reducedAt;

    /** Sets among how many entries the pool is shared. */
    void updateEntryCount(int counted) {
        entries = Math.max(1, counted);
    }

    /** Notes how long a reading took, how long it takes alone, and how long it may take for those in time. */
    void recordPrefill(double millis, double aloneMillis, double inTimeMillis, long now) {
        if (millis > Math.max(LONG_QUEUE_SHARE * inTimeMillis, LONG_QUEUE_PREFILLS * aloneMillis)) {
            reducedAt = now;
            multiple = Math.max(MIN_MULTIPLE, Math.min(multiple, entries) * DECREASE_FACTOR);
        } else if (millis < Math.max(SHORT_QUEUE_SHARE * inTimeMillis, SHORT_QUEUE_PREFILLS * aloneMillis)) {
            multiple = Math.min(entries, multiple * INCREASE_FACTOR);
        }
    }

    /** A long queue that no answer tells of any more has been worked off: who is kept from asking gets no answers. */
    private void resetStaleReduction(double bearableMillis, long now) {
        if (multiple < 1 && (now - reducedAt) / 1e6 > STALE_BACKLOGS * bearableMillis) {
            multiple = 1;
            reducedAt = now;
        }
    }

    /** Returns whether others leave so much that this entry needs no share to use an engine that seems idle. */
    boolean hasSurplus() {
        return multiple > 1;
    }

    /** Returns whether one more prompt may begin, with so much of the share left besides, from 0 to 1. */
    boolean allows(double tokensPerMilli, double bearableMillis, double besides, long now) {
        resetStaleReduction(bearableMillis, now);
        double rate = tokensPerMilli * Math.min(multiple, entries) / entries;
        double most = rate * bearableMillis;
        tokens = filled ? Math.min(most, tokens + rate * (now - filledAt) / 1e6) : most;
        filledAt = now;
        filled = true;
        return tokens >= besides * most;
    }

    /** Returns what is left of the share, in tokens; below 0 it is a debt. */
    double remainingTokens() {
        return tokens;
    }

    void spend(int prompt) {
        if (filled) {
            tokens -= prompt;
        }
    }
}
