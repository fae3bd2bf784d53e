package org.quetzalseam.core.generation;

/**
 * How many prompt tokens one of several entries begins in a time, so that all together begin about what the engines can read. Not
 * thread-safe.
 *
 * <p>An answer tells of a queue as it was when its prompt joined it. Entries that go by that alone all begin too much until
 * the first slow answers come, and then too little. So each has a share of what the pool can read: an equal one in any case, and
 * more while answers show that others leave theirs. A prompt may be larger than what is left of the share; its rest is a debt.
 */
final class ReadingShare {
    /** Change with an answer that found a short queue: doubles in some four. */
    private static final double MORE = 1.2;
    /** Change with an answer that found a long queue: halves in three, as a queue grows faster than it is worked off. */
    private static final double LESS = 0.8;
    /** Part of the time for a reading in time below which the queue counts as short. */
    private static final double SHORT = 0.5;
    /** Part of it above which the queue counts as long: what is left is for prompts longer than usual. */
    private static final double LONG = 0.75;
    /** The same two in multiples of a reading without a queue, where that alone takes most of the time. */
    private static final double SHORT_ALONE = 1.5;

    private static final double LONG_ALONE = 3;
    /** Multiple of the equal share at first; takes some ten answers to reach what the load allows. */
    private static final double FIRST_MULTIPLE = 2;

    /** The least multiple: a queue that is too long has to become shorter, not only to grow no more. */
    private static final double LEAST = 0.5;

    /** Age of a long answer from which it says nothing, in bearable waits: some queues' lengths. */
    private static final double OLD = 4;

    private int entries = 1;
    private double multiple = FIRST_MULTIPLE;
    private double tokens;
    private long filledAt;
    private boolean filled;
    private long changedAt;

    /** Sets among how many entries the pool is shared. */
    void entries(int counted) {
        entries = Math.max(1, counted);
    }

    /** Notes how long a reading took, how long it takes alone, and how long it may take for those in time. */
    void took(double millis, double aloneMillis, double inTimeMillis, long now) {
        if (millis > Math.max(LONG * inTimeMillis, LONG_ALONE * aloneMillis)) {
            changedAt = now;
            multiple = Math.max(LEAST, Math.min(multiple, entries) * LESS);
        } else if (millis < Math.max(SHORT * inTimeMillis, SHORT_ALONE * aloneMillis)) {
            multiple = Math.min(entries, multiple * MORE);
        }
    }

    /** A long queue that no answer tells of any more has been worked off: who is kept from asking gets no answers. */
    private void forgetLong(double bearableMillis, long now) {
        if (multiple < 1 && (now - changedAt) / 1e6 > OLD * bearableMillis) {
            multiple = 1;
            changedAt = now;
        }
    }

    /** Returns whether others leave so much that this entry needs no share to use an engine that seems idle. */
    boolean plenty() {
        return multiple > 1;
    }

    /** Returns whether one more prompt may begin, with so much of the share left besides, from 0 to 1. */
    boolean allows(double tokensPerMilli, double bearableMillis, double besides, long now) {
        forgetLong(bearableMillis, now);
        double rate = tokensPerMilli * Math.min(multiple, entries) / entries;
        double most = rate * bearableMillis;
        tokens = filled ? Math.min(most, tokens + rate * (now - filledAt) / 1e6) : most;
        filledAt = now;
        filled = true;
        return tokens >= besides * most;
    }

    /** Returns what is left of the share, in tokens; below 0 it is a debt. */
    double left() {
        return tokens;
    }

    void take(int prompt) {
        if (filled) {
            tokens -= prompt;
        }
    }
}
