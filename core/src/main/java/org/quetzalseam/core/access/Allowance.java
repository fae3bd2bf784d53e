package org.quetzalseam.core.access;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.generation.TokenDemand;

/**
 * How much a team may ask of all entries together. Immutable.
 *
 * @param unit what is counted
 * @param perSecond units per second; 0 if the team has no limit
 * @param burst units that the team may ask at once in addition, after it has asked for nothing for some time
 * @param unitsPerCall units that a request counts that states no size
 */
public record Allowance(Unit unit, double perSecond, double burst, long unitsPerCall) {
    /** The allowance of a team that has no limit. */
    public static final Allowance UNLIMITED = new Allowance(Unit.REQUESTS, 0, 0, 1);

    /** What an allowance counts. */
    public enum Unit {
        /** Each request counts the same. */
        REQUESTS,
        /** A generation counts the tokens of its prompt and the most that it may generate. */
        TOKENS
    }

    /** Checks that no number is negative. */
    public Allowance {
        if (!(perSecond >= 0 && burst >= 0 && unitsPerCall >= 0)) {
            throw new IllegalArgumentException("perSecond, burst, unitsPerCall: expected 0 or more, got " + perSecond
                    + ", " + burst + ", " + unitsPerCall);
        }
    }

    /** Returns whether there is a limit. */
    public boolean isLimited() {
        return perSecond > 0;
    }

    /** Returns how many units a request counts. */
    public long cost(@Nullable TokenDemand demand) {
        return unit == Unit.TOKENS && demand != null ? demand.maxTokens() : unitsPerCall;
    }
}
