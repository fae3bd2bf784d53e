package org.quetzalseam.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry's share of a retry budget that all entries have in common. Not thread-safe. Times are monotonic, in
 * nanoseconds.
 *
 * <p>The common budget for a window is {@code ratio} times the requests plus a slack. An entry uses {@code ratio} times
 * its own requests, which adds up to the common ratio however traffic is divided among entries, and an equal part of
 * the slack; until it knows the number of entries, a part so small that it suffices for {@link #ASSUMED_ENTRIES} of
 * them.
 *
 * <p>A process does not know what previous incarnations of the same entry have spent in the window. So an entry's part
 * of the slack has two parts: one for a process that has been up for a whole window, and a smaller one for all younger
 * processes together, which grows linearly with a process's age. However often an entry is restarted in a window, it
 * spends both at most.
 */
public final class RetryAllowance {
    /**
     * Number of entries assumed until it is known: that of a large site of one region. Up to this number the parts of
     * the slack add up to no more than the whole.
     */
    static final int ASSUMED_ENTRIES = 24;
    /**
     * Part of the ratio that is used, because requests and retries fall into sliding windows that do not quite agree.
     */
    private static final double USED_RATIO_SHARE = 0.8;
    /** Part of the slack for a process that has been up for a whole window. */
    private static final double ESTABLISHED_SHARE = 0.8;
    /** Part of the slack for all younger processes of an entry in a window together. */
    private static final double YOUNG_SHARE = 0.2;

    private final long startedAt;
    private double ratio;
    private double commonSlack;
    private long windowNanos;
    private int entries = ASSUMED_ENTRIES;
    private final Deque<Long> requests = new ArrayDeque<>();
    private final Deque<Long> retries = new ArrayDeque<>();

    /**
     * Creates an allowance.
     *
     * @param ratio common retries per request, from 0 to 1
     * @param slack additional common retries per window
     * @param windowNanos length of the window
     * @param startedAt when this entry's process started
     */
    public RetryAllowance(double ratio, double slack, long windowNanos, long startedAt) {
        this.startedAt = startedAt;
        updateBudget(ratio, slack, windowNanos);
    }

    /** Replaces the common budget. Retries that have been spent stay spent. */
    public void updateBudget(double ratio, double slack, long windowNanos) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio: expected 0 to 1, got " + ratio);
        }
        this.ratio = ratio * USED_RATIO_SHARE;
        this.commonSlack = slack;
        this.windowNanos = windowNanos;
    }

    /** Sets the number of entries that share the budget. */
    public void updateEntryCount(int entries) {
        this.entries = Math.max(1, entries);
    }

    private double slack(long now) {
        long upNanos = now - startedAt;
        double share = upNanos < windowNanos ? YOUNG_SHARE * upNanos / windowNanos : ESTABLISHED_SHARE;
        return share * commonSlack / entries;
    }

    /** Records a caller's request. */
    public void recordRequest(long now) {
        requests.addLast(now);
        trim(now);
    }

    /** Spends one retry. Returns false if none is left. */
    public boolean tryRetry(long now) {
        return tryRetries(now, 1);
    }

    /**
     * Spends several retries, one for each call that will follow a request's first. Returns false, and spends none, if
     * fewer are left.
     */
    public boolean tryRetries(long now, int count) {
        trim(now);
        if (retries.size() + count > ratio * requests.size() + slack(now)) {
            return false;
        }
        for (int i = 0; i < count; i++) {
            retries.addLast(now);
        }
        return true;
    }

    /**
     * Figures on which a decision about a retry is based. Immutable.
     *
     * @param retriesLeft number of retries left, rounded down
     * @param requests number of requests in the window
     * @param retries number of retries in the window
     * @param slack this entry's part of the slack
     * @param upNanos how long this entry's process has been up
     */
    public record Inputs(int retriesLeft, int requests, int retries, double slack, long upNanos) {}

    /** Returns the figures for a decision now, for the log. */
    public Inputs inputs(long now) {
        trim(now);
        double slack = slack(now);
        double allowed = ratio * requests.size() + slack;
        return new Inputs(
                (int) Math.floor(allowed - retries.size()), requests.size(), retries.size(), slack, now - startedAt);
    }

    private void trim(long now) {
        trim(requests, now);
        trim(retries, now);
    }

    private void trim(Deque<Long> times, long now) {
        while (!times.isEmpty() && now - times.peekFirst() > windowNanos) {
            times.pollFirst();
        }
    }
}
