package org.quetzalseam.core.limits;

import org.quetzalseam.core.fleet.Incarnation;

/**
 * One entry's question about requests to an endpoint that states a limit. Immutable.
 *
 * @param kind what is asked
 * @param endpoint the endpoint
 * @param requests how many requests are to be sent together, at least 1
 * @param maxWaitNanos how long they can wait
 * @param known what the asking entry knows of the limit
 * @param relayed whether an entry passes on the question of another one, so that it must not be passed on again
 */
public record PermitAsk(
        Kind kind, Incarnation endpoint, int requests, long maxWaitNanos, KnownLimit known, boolean relayed) {
    /** What is asked. */
    public enum Kind {
        /** Whether the requests may be sent. */
        SEND,
        /** When the caller of refused requests should return; the answer is always a refusal. */
        RETURN
    }

    /** Checks the numbers. */
    public PermitAsk {
        if (requests < 1 || maxWaitNanos < 0) {
            throw new IllegalArgumentException(
                    "requests, maxWaitNanos: expected at least 1 and 0, got " + requests + ", " + maxWaitNanos);
        }
    }

    /** Returns the same question as passed on to another entry. */
    PermitAsk relay() {
        return new PermitAsk(kind, endpoint, requests, maxWaitNanos, known, true);
    }
}
