package org.quetzalseam.core.limits;

/**
 * What one answer states about how many requests a second its endpoint takes from all entries together. Immutable.
 *
 * @param kind whether the answer states a limit
 * @param perSecond requests a second, 0 or more; 0 unless {@code kind} is {@link Kind#LIMITED}
 */
public record StatedLimit(Kind kind, double perSecond) {
    /** An answer that states no limit. */
    public static final StatedLimit NONE = new StatedLimit(Kind.NONE, 0);
    /** An answer whose limit can't be read. */
    public static final StatedLimit UNREADABLE = new StatedLimit(Kind.UNREADABLE, 0);

    /** Whether an answer states a limit. */
    public enum Kind {
        /** It states none. */
        NONE,
        /** It states one. */
        LIMITED,
        /** It states something that is no decimal number. */
        UNREADABLE
    }

    /** Checks that the limit is a finite number that is not negative. */
    public StatedLimit {
        if (!(perSecond >= 0 && perSecond < Double.POSITIVE_INFINITY)) {
            throw new IllegalArgumentException("perSecond: expected a finite number of at least 0, got " + perSecond);
        }
    }

    /** Returns an answer's statement of a limit. */
    public static StatedLimit of(double perSecond) {
        return new StatedLimit(Kind.LIMITED, perSecond);
    }
}
