package org.quetzalseam.core.access;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * One entry's share of the allowance of one team. Not thread-safe. Times are in nanoseconds, of a clock that also counts the time
 * for which the machine was suspended.
 *
 * <p>Each entry accrues an equal part of the team's units, and saves up an equal part of what may be saved. Units that are lent to
 * another entry leave the lender at once, whether they arrive or not, and the borrower uses them soon or loses them. So units are
 * never created by a message, and the shares add up to the allowance however entries are cut off, paused or restarted.
 */
public final class AllowanceShare {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long LOAN_NANOS = (long) (AllowanceBounds.LOAN_SECONDS * NANOS_PER_SECOND);
    /** Part of its units that an entry keeps back from other entries while it uses the team's units itself. */
    private static final double KEPT_SHARE = 0.1;
    /** How long after a use an entry expects another one, in nanoseconds. */
    private static final long IN_USE_NANOS = 1_000_000_000L;

    private record Loan(double units, long expiresAt) {}

    private final AllowanceBounds bounds;
    private final Deque<Loan> loans = new ArrayDeque<>();
    private Allowance allowance = Allowance.UNLIMITED;
    private double part;
    private double units;
    private long accruedAt;
    private long usedAt;
    private boolean used;

    /** Creates a share that has accrued nothing yet. */
    public AllowanceShare(AllowanceBounds bounds, long now) {
        this.bounds = bounds;
        this.accruedAt = now;
    }

    /**
     * Applies an allowance.
     *
     * @param newAllowance the team's allowance for all entries together
     * @param newPart the part of it that this entry accrues, from 0 to 1
     */
    public void update(Allowance newAllowance, double newPart, long now) {
        accrue(now);
        allowance = newAllowance;
        part = newPart;
        units = Math.min(units, capacity());
    }

    private double capacity() {
        return bounds.savedUnits(allowance) * part;
    }

    private void accrue(long now) {
        double seconds = Math.max(0, now - accruedAt) / NANOS_PER_SECOND;
        units = Math.min(capacity(), units + perSecond() * seconds);
        accruedAt = now;
        while (!loans.isEmpty() && now - loans.getFirst().expiresAt() > 0) {
            loans.removeFirst();
        }
    }

    /** Returns how many units this entry may use now. */
    public double available(long now) {
        accrue(now);
        return Math.max(0, units) + loans.stream().mapToDouble(Loan::units).sum();
    }

    /** Takes units. Returns false, and takes nothing, if there are too few. */
    public boolean take(long cost, long now) {
        used = true;
        usedAt = now;
        if (available(now) < (double) cost) {
            return false;
        }
        double left = (double) cost;
        while (left > 0 && !loans.isEmpty()) {
            Loan oldest = loans.removeFirst();
            if (oldest.units() > left) {
                loans.addFirst(new Loan(oldest.units() - left, oldest.expiresAt()));
            }
            left -= Math.min(left, oldest.units());
        }
        units -= Math.max(0, left);
        return true;
    }

    /** Returns units that were taken for a request that has not run; what this entry may not save up is lost. */
    public void giveBack(long cost, long now) {
        accrue(now);
        units = Math.min(Math.max(units, capacity()), units + (double) cost);
    }

    /** Lends units to another entry, no more than wanted. Returns how many; this entry no longer has these. */
    public long lend(long wanted, long now) {
        accrue(now);
        boolean inUse = used && now - usedAt <= IN_USE_NANOS;
        double spare = Math.max(0, units - (inUse ? KEPT_SHARE * capacity() : 0));
        long lent = Math.min(Math.max(0, wanted), (long) spare);
        units -= lent;
        return lent;
    }

    /**
     * Adds units that another entry has lent.
     *
     * @param lent how many
     * @param askedAt when this entry asked for these, which is earlier than when the other one gave them away
     */
    public void borrow(long lent, long askedAt, long now) {
        if (lent > 0 && now - askedAt <= LOAN_NANOS) {
            loans.addLast(new Loan((double) lent, askedAt + LOAN_NANOS));
        }
    }

    /** Saves up loans that no request uses now, as far as this entry may save up, so that others can borrow these units. */
    public void saveLoans(long now) {
        accrue(now);
        while (!loans.isEmpty() && units < capacity()) {
            units = Math.min(capacity(), units + loans.removeFirst().units());
        }
    }

    /** Removes and returns all saved units, for the entry that receives this one's part of the allowance. */
    long takeSaved(long now) {
        accrue(now);
        long taken = (long) Math.max(0, units);
        units -= taken;
        return taken;
    }

    /** Adds units that came with a part of the allowance, as far as this entry may save up. */
    void addSaved(long added, long now) {
        accrue(now);
        units = Math.min(capacity(), units + (double) added);
    }

    /** Returns the saved units, without loans; negative while units are owed that have not accrued yet. */
    double saved(long now) {
        accrue(now);
        return units;
    }

    /** Takes units that may not have accrued yet. The caller ensures that they accrue before they are used. */
    void owe(long cost, long now) {
        accrue(now);
        units -= (double) cost;
        used = true;
        usedAt = now;
    }

    /** Returns how many units of the team accrue to this entry in a second. */
    public double perSecond() {
        return bounds.accrualPerSecond(allowance) * part;
    }

    /** Returns the time in which all entries together accrue the given number of units, in nanoseconds. */
    public long accrualNanos(double wanted) {
        return allowance.isLimited() ? (long) (Math.max(0, wanted) / allowance.perSecond() * NANOS_PER_SECOND) : 0;
    }
}
