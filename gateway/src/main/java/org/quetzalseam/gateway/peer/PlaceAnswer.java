package org.quetzalseam.gateway.peer;

import org.quetzalseam.core.fleet.Incarnation;

/**
 * What a dispatcher states about a request for a place. Immutable.
 *
 * @param decision the decision
 * @param endpoint the endpoint that a granted place is at; without an id otherwise
 * @param durationNanos the Retry-After of a refusal, or the time in which a waiting request is decided at the latest; 0 otherwise
 * @param inputs what decided, as {@code key=value} pairs for the log
 */
public record PlaceAnswer(Decision decision, Incarnation endpoint, long durationNanos, String inputs) {
    private static final Incarnation NONE = new Incarnation("", Incarnation.UNKNOWN_START);

    /** The answer of an entry that does not decide for the group. */
    public static final PlaceAnswer DECLINED = new PlaceAnswer(Decision.DECLINED, NONE, 0, "");

    /** The decisions. */
    public enum Decision {
        /** The request has a place. */
        GRANTED,
        /** The request gets no place. */
        REFUSED,
        /** The request waits; another answer follows. */
        WAITING,
        /** The entry does not decide for the group. */
        DECLINED
    }

    /** Returns the answer to a request that has a place. */
    public static PlaceAnswer granted(Incarnation endpoint) {
        return new PlaceAnswer(Decision.GRANTED, endpoint, 0, "");
    }

    /** Returns the answer to a request that gets no place. */
    public static PlaceAnswer refused(long retryAfterNanos, String inputs) {
        return new PlaceAnswer(Decision.REFUSED, NONE, retryAfterNanos, inputs);
    }

    /** Returns the first answer to a request that waits. */
    public static PlaceAnswer waiting(long decidedInNanos) {
        return new PlaceAnswer(Decision.WAITING, NONE, decidedInNanos, "");
    }
}
