package org.quetzalseam.core.limits;

/**
 * The answer to an entry that asks whether it may send requests to an endpoint that states a limit. Immutable.
 *
 * @param kind the decision
 * @param waitNanos how long to wait: if granted, until the requests may be sent; if refused, until asking again is of use
 */
public record Permit(Kind kind, long waitNanos) {
    /** The decision. */
    public enum Kind {
        /** The requests may be sent. */
        GRANTED,
        /** The requests may not be sent. */
        REFUSED,
        /** The entry that was asked does not decide for this endpoint. */
        DECLINED
    }

    /** Checks that the time is not negative. */
    public Permit {
        if (waitNanos < 0) {
            throw new IllegalArgumentException("waitNanos: expected at least 0, got " + waitNanos);
        }
    }

    /** Returns a decision that the requests may be sent after a time. */
    public static Permit granted(long waitNanos) {
        return new Permit(Kind.GRANTED, waitNanos);
    }

    /** Returns a decision that the requests may not be sent. */
    public static Permit refused(long waitNanos) {
        return new Permit(Kind.REFUSED, waitNanos);
    }

    /** Returns that another entry has to be asked. */
    public static Permit declined() {
        return new Permit(Kind.DECLINED, 0);
    }

    /** Returns whether the requests may be sent. */
    public boolean isGranted() {
        return kind == Kind.GRANTED;
    }
}
