package org.quetzalseam.core.access;

/**
 * By how much all entries together may exceed a team's allowance: in each window, they may admit the units of the window and of
 * one burst, {@code overshoot} times as many in addition, and the slack. Immutable.
 *
 * @param windowSeconds length of the window, in seconds
 * @param overshoot share of the allowance by which it may be exceeded
 * @param slack units by which each team may exceed its allowance in addition
 */
public record AllowanceBounds(double windowSeconds, double overshoot, double slack) {
    /** How long borrowed units may be used, in seconds. */
    static final double LOAN_SECONDS = 0.4;
    /**
     * Part of the units beyond the allowance that entries may save up. The rest covers entries that count each other differently for
     * a moment, and timers that are late.
     */
    private static final double SAVED_EXCESS = 0.7;
    /**
     * Part of the units beyond the allowance that accrue in a window. The larger part, because a team that asks for more than its
     * allowance goes on doing so, while what is saved up serves its first moment only. It also replaces loans that expire or never arrive.
     */
    private static final double ACCRUED_EXCESS = 0.7;

    /** Checks that no number is negative. */
    public AllowanceBounds {
        if (!(windowSeconds > 0 && overshoot >= 0 && slack >= 0)) {
            throw new IllegalArgumentException("windowSeconds, overshoot, slack: expected > 0, >= 0 and >= 0, got "
                    + windowSeconds + ", " + overshoot + ", " + slack);
        }
    }

    /** Returns how many units all entries together may admit in a window. */
    public double most(Allowance allowance) {
        return (allowance.perSecond() * windowSeconds + allowance.burst()) * (1 + overshoot) + slack;
    }

    /**
     * Returns how many units accrue to all entries together in a second: more than the allowance, as far as the bounds permit. Without an
     * overshoot they permit none, because a slack alone is meant for moments.
     */
    double accrualPerSecond(Allowance allowance) {
        double excess = overshoot > 0 ? Math.max(0, excess(allowance)) : 0;
        return allowance.perSecond() + excess * ACCRUED_EXCESS / (windowSeconds + LOAN_SECONDS);
    }

    /**
     * Returns how many units all entries together may have saved up at any moment. With what accrues in a window and with loans that
     * are in use, these are no more than may be admitted in a window.
     */
    double savedUnits(Allowance allowance) {
        double accruing = accrualPerSecond(allowance) - allowance.perSecond();
        double excess = excess(allowance) - accruing * (windowSeconds + LOAN_SECONDS);
        return Math.max(0, allowance.burst() + (excess > 0 ? SAVED_EXCESS : 1) * excess);
    }

    /** Returns by how much the bounds exceed what the allowance itself takes, with loans that are in use. */
    private double excess(Allowance allowance) {
        return most(allowance) - allowance.burst() - allowance.perSecond() * (windowSeconds + LOAN_SECONDS);
    }
}
