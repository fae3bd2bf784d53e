package org.quetzalseam.core.limits;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry's share of a retry budget that all entries have in common. Not thread-safe.
 *
 * <p>The common budget for a window is {@code ratio} times the requests plus a slack. An entry takes {@code ratio} times its
 * own requests, which adds up to the common ratio whatever the entries' shares of traffic, and an even part of the slack; until
 * it knows how many entries there are, so small a part that it holds for {@link #ASSUMED_ENTRIES} of them.
 *
 * <p>A process doesn't know what an earlier one of the same entry has spent in the window. So an entry's part of the slack has two
 * parts: one for a process that has been up for a whole window, and a smaller one for all younger ones together, which grows
 * evenly with a process's age. However often an entry is started in a window, it spends both at most.
 */
public final class RetryAllowance {
    /** Most entries for which the parts of the slack add up to no more than the whole: a large site of one region. */
    static final int ASSUMED_ENTRIES = 24;
    /** Part of the ratio that is used, as requests and retries fall into sliding windows that don't quite agree. */
    private static final double RATIO_USED = 0.8;
    /** Part of the slack for a process that has been up for a window. */
    private static final double ESTABLISHED_SHARE = 0.8;
    /** Part of the slack for all younger processes of an entry in a window. */
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
     * @param ratio common retries for each request, from 0 to 1
     * @param slack common retries in a window besides
     * @param windowNanos the window's length
     * @param startedAt when this entry's process began
     */
    public RetryAllowance(double ratio, double slack, long windowNanos, long startedAt) {
        this.startedAt = startedAt;
        updateBudget(ratio, slack, windowNanos);
    }

    /** Takes another common budget. What has been spent stays spent. */
    public void updateBudget(double ratio, double slack, long windowNanos) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio: expected 0 to 1, got " + ratio);
        }
        this.ratio = ratio * RATIO_USED;
        this.commonSlack = slack;
        this.windowNanos = windowNanos;
    }

    /** Takes the number of entries that share the budget. */
    public void updateEntryCount(int entries) {
        this.entries = Math.max(1, entries);
    }

    private double slack(long now) {
        long upNanos = now - startedAt;
        double share = upNanos < windowNanos ? YOUNG_SHARE * upNanos / windowNanos : ESTABLISHED_SHARE;
        return share * commonSlack / entries;
    }

    /** Notes a caller's request. */
    public void recordRequest(long now) {
        requests.addLast(now);
        trim(now);
    }

    /** Takes one retry. Returns false when none is left. */
    public boolean tryRetry(long now) {
        return tryRetries(now, 1);
    }

    /** Takes several retries, as many as calls beyond a request's first will follow. Returns false, and takes none, when fewer are left. */
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
     * What a decision on a retry rests on. Immutable.
     *
     * @param retriesLeft retries that are left, rounded down
     * @param requests requests in the window
     * @param retries retries in the window
     * @param slack this entry's part of the slack
     * @param upNanos how long this entry's process has been up
     */
    public record Inputs(int retriesLeft, int requests, int retries, double slack, long upNanos) {}

    /** Returns what a decision would rest on now, for the log. */
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
