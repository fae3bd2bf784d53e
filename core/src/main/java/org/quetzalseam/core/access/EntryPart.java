package org.quetzalseam.core.access;

/**
 * Decides which part of each allowance an entry accrues, so that the parts of all entries add up to no more than the whole. Not
 * thread-safe. Times are in nanoseconds, of a clock that also counts the time for which the machine was suspended.
 *
 * <p>An entry accrues only while its count of the entries is recent, and an entry that is new to the site accrues only once the
 * counts of all others are so recent that they include it. Until then it borrows.
 */
public final class EntryPart {
    /** Number of counts that may fail in a row before an entry stops to accrue. */
    private static final double VALID_COUNTS = 2.5;
    /** Number of counts after which a new entry is included by all others: theirs may be old, and may show a list that is old. */
    private static final double COUNTS_UNTIL_KNOWN = 4;

    /** Time beyond a lease for which a restarted entry waits, as it may count the entries differently from before. */
    private static final long LEASE_MARGIN_NANOS = 500_000_000L;

    private boolean counted;
    private int entries = 1;
    private long countedAt;
    private long intervalNanos;
    private boolean added;
    private long addedAt;
    private boolean restarted;
    private long restartedAt;

    /** Records that this entry's name has been added to a site that was running. */
    public void recordAdded(long now) {
        added = true;
        addedAt = now;
    }

    /** Records that this process may have followed another one of the same name, which may have leased its parts to holders. */
    public void recordRestarted(long now) {
        restarted = true;
        restartedAt = now;
    }

    /** Records that no process has had this entry's name before. */
    public void recordFirst() {
        restarted = false;
    }

    /**
     * Records a count.
     *
     * @param newEntries the number of entries, this one included
     * @param newIntervalNanos time between two counts
     * @param askedAt when the list of the entries was requested
     */
    public void recordCount(int newEntries, long newIntervalNanos, long askedAt) {
        if (newEntries < 1) {
            throw new IllegalArgumentException("entries: expected at least 1, got " + newEntries);
        }
        counted = true;
        entries = newEntries;
        intervalNanos = newIntervalNanos;
        countedAt = askedAt;
    }

    /** Returns the part that this entry accrues now, from 0 to 1. */
    public double part(long now) {
        boolean recent = counted && now - countedAt <= VALID_COUNTS * intervalNanos;
        return recent && knownToOthers(now) && !mayBeLeased(now) ? 1.0 / entries : 0;
    }

    /** Returns whether a holder may still accrue the part that it got from an earlier process of this entry. */
    private boolean mayBeLeased(long now) {
        return restarted && entries > 1 && now - restartedAt <= PooledShare.leaseNanos(entries) + LEASE_MARGIN_NANOS;
    }

    /** Returns whether the counts of all other entries are so recent that they include this one. */
    public boolean knownToOthers(long now) {
        return !added || now - addedAt > COUNTS_UNTIL_KNOWN * intervalNanos;
    }
}
