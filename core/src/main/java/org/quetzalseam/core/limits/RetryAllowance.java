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
 * <p>A retry may wait between the decision and its sending. It is reserved at the decision and counts until it is sent; it is counted
 * in the window when it is sent, because that is when it arrives. So retries that were decided over some time and are sent together
 * stay within the budget, as do all that are decided beside them.
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
    private int reserved;

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

    /** Spends one retry, which is sent at once. Returns false if none is left. */
    public boolean tryRetry(long now) {
        return tryRetries(now, 1);
    }

    /** Spends several retries, which are sent at once. Returns false, and spends none, if fewer are left. */
    public boolean tryRetries(long now, int count) {
        Reservation reservation = new Reservation();
        if (!reservation.add(now, count)) {
            return false;
        }
        while (reservation.unsent() > 0) {
            reservation.send(now);
        }
        return true;
    }

    /** Returns a reservation of no retries. */
    public Reservation newReservation() {
        return new Reservation();
    }

    private boolean exceeds(int count, long now) {
        return count > ratio * requests.size() + slack(now);
    }

    /** Retries of one request that have been decided and not sent yet. */
    public final class Reservation {
        private int unsent;
        private long lastSentAt;

        private Reservation() {}

        /** Returns the number of retries that are reserved and not sent yet. */
        public int unsent() {
            return unsent;
        }

        /** Reserves further retries. Returns false, and reserves none, if fewer are left. */
        public boolean add(long now, int count) {
            trim(now);
            if (exceeds(retries.size() + reserved + count, now)) {
                return false;
            }
            unsent += count;
            reserved += count;
            return true;
        }

        /**
         * Counts a reserved retry that is sent now. Returns false if it must not be sent, because fewer requests have come in the last
         * window than when it was reserved.
         */
        public boolean send(long now) {
            if (unsent == 0) {
                throw new IllegalStateException("expected a reserved retry, found none");
            }
            trim(now);
            if (exceeds(retries.size() + 1, now)) {
                return false;
            }
            unsent--;
            reserved--;
            retries.addLast(now);
            lastSentAt = now;
            return true;
        }

        /** Takes back the latest of these retries that was counted, which was not sent after all: it is reserved again. */
        public void takeBack() {
            if (retries.removeLastOccurrence(lastSentAt)) {
                unsent++;
                reserved++;
            }
        }

        /** Gives up all retries that have not been sent. */
        public void release() {
            reserved -= unsent;
            unsent = 0;
        }
    }

    /**
     * Figures on which a decision about a retry is based. Immutable.
     *
     * @param retriesLeft number of retries left, rounded down
     * @param requests number of requests in the window
     * @param retries number of retries sent in the window
     * @param reserved number of retries decided and not sent yet
     * @param slack this entry's part of the slack
     * @param upNanos how long this entry's process has been up
     */
    public record Inputs(int retriesLeft, int requests, int retries, int reserved, double slack, long upNanos) {}

    /** Returns the figures for a decision now, for the log. */
    public Inputs inputs(long now) {
        trim(now);
        double slack = slack(now);
        double allowed = ratio * requests.size() + slack;
        int left = (int) Math.floor(allowed - retries.size() - reserved);
        return new Inputs(left, requests.size(), retries.size(), reserved, slack, now - startedAt);
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
