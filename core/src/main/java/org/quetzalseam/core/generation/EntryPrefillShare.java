package org.quetzalseam.core.generation;

/**
 * Limits the rate of prompt tokens that one of several entries sends for prefill, so that all entries together send
 * about as much as the engines can prefill. Not thread-safe; times are monotonic and passed in, in nanoseconds.
 *
 * <p>An answer shows the queue as it was when its prompt joined it. Entries that relied on answers alone would all send
 * too much until the first slow answers arrive, and then too little. So each entry has a share of the pool's prefill
 * rate: an equal share in any case, and more while answers show that others do not use theirs. A prompt may be larger
 * than what remains of the share; the excess is a debt.
 */
final class EntryPrefillShare {
    /** Factor for an answer that found a short queue: doubles the share in about four answers. */
    private static final double INCREASE_FACTOR = 1.2;
    /**
     * Factor for an answer that found a long queue: halves the share in three answers, because a queue grows faster
     * than it is worked off.
     */
    private static final double DECREASE_FACTOR = 0.8;
    /** Share of the time available for a prefill that meets the objective, below which the queue counts as short. */
    private static final double SHORT_QUEUE_SHARE = 0.5;
    /** Share of the same time above which the queue counts as long: the rest is for prompts longer than usual. */
    private static final double LONG_QUEUE_SHARE = 0.75;
    /**
     * Time below which the queue counts as short, as a multiple of a prefill without a queue, where that alone takes
     * most of the available time.
     */
    private static final double SHORT_QUEUE_PREFILLS = 1.5;

    /** Time above which the queue counts as long, in the same multiples and the same case. */
    private static final double LONG_QUEUE_PREFILLS = 3;
    /** Initial multiple of the equal share; it takes about ten answers to reach what the load allows. */
    private static final double FIRST_MULTIPLE = 2;

    /**
     * Minimum multiple of the equal share: below 1, because a queue that is too long has to become shorter, not only
     * stop growing.
     */
    private static final double MIN_MULTIPLE = 0.5;

    /**
     * Age from which the last answer that found a long queue no longer counts, as a multiple of the longest acceptable
     * backlog: the time of several queue lengths.
     */
    private static final double STALE_BACKLOGS = 4;

    private int entries = 1;
    private double multiple = FIRST_MULTIPLE;
    private double tokens;
    private long filledAt;
    private boolean filled;
    private long reducedAt;

    /** Sets the number of entries that share the pool. */
    void updateEntryCount(int entryCount) {
        entries = Math.max(1, entryCount);
    }

    /**
     * Records a prefill.
     *
     * @param millis how long it took
     * @param aloneMillis how long it takes without a queue
     * @param inTimeMillis how long it may take to meet the objective
     * @param now the monotonic time, in nanoseconds
     */
    void recordPrefill(double millis, double aloneMillis, double inTimeMillis, long now) {
        if (millis > Math.max(LONG_QUEUE_SHARE * inTimeMillis, LONG_QUEUE_PREFILLS * aloneMillis)) {
            reducedAt = now;
            multiple = Math.max(MIN_MULTIPLE, Math.min(multiple, entries) * DECREASE_FACTOR);
        } else if (millis < Math.max(SHORT_QUEUE_SHARE * inTimeMillis, SHORT_QUEUE_PREFILLS * aloneMillis)) {
            multiple = Math.min(entries, multiple * INCREASE_FACTOR);
        }
    }

    /**
     * Restores the equal share once the last answer that found a long queue is old. The queue has been worked off by
     * then, but no answer can show it, because an entry that may not send prompts gets no answers.
     */
    private void resetStaleReduction(double maxBacklogMillis, long now) {
        if (multiple < 1 && (now - reducedAt) / 1e6 > STALE_BACKLOGS * maxBacklogMillis) {
            multiple = 1;
            reducedAt = now;
        }
    }

    /**
     * Returns whether others leave so much unused that this entry may use an engine that seems idle regardless of its
     * share.
     */
    boolean hasSurplus() {
        return multiple > 1;
    }

    /**
     * Returns whether one more prompt may begin.
     *
     * @param tokensPerMilli prefill rate of the whole pool
     * @param maxBacklogMillis longest acceptable backlog; the share accumulates over this time at most
     * @param reserve part of the accumulated share that has to remain, from 0 to 1
     * @param now the monotonic time, in nanoseconds
     */
    boolean allows(double tokensPerMilli, double maxBacklogMillis, double reserve, long now) {
        resetStaleReduction(maxBacklogMillis, now);
        double rate = tokensPerMilli * Math.min(multiple, entries) / entries;
        double maxTokens = rate * maxBacklogMillis;
        tokens = filled ? Math.min(maxTokens, tokens + rate * (now - filledAt) / 1e6) : maxTokens;
        filledAt = now;
        filled = true;
        return tokens >= reserve * maxTokens;
    }

    /** Returns the tokens that remain of the share; a negative number is a debt. */
    double remainingTokens() {
        return tokens;
    }

    /** Deducts a prompt's tokens from the share. */
    void spend(int promptTokens) {
        if (filled) {
            tokens -= promptTokens;
        }
    }
}
