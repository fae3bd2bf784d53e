package org.quetzalseam.core.attempt;

/**
 * Identifies one attempt at one request. Immutable.
 *
 * <p>Two attempts never share an id: {@code entry} is the random incarnation of the entry process, so that a restarted
 * entry cannot reuse an id, and a late answer matches only the attempt that it belongs to.
 *
 * @param entry incarnation of the entry process that holds the caller's connection
 * @param request counter of the request within that incarnation
 * @param number number of the attempt within the request, from 1
 */
public record AttemptId(long entry, long request, int number) {
    /** Checks that the attempt number is positive. */
    public AttemptId {
        if (number < 1) {
            throw new IllegalArgumentException("number: expected at least 1, got " + number);
        }
    }

    /** Returns the id of the next attempt at the same request. */
    public AttemptId next() {
        return new AttemptId(entry, request, number + 1);
    }

    /** Returns the id of the request as callers see it, without the attempt number. */
    public String requestId() {
        return Long.toHexString(entry) + "-" + request;
    }

    @Override
    public String toString() {
        return requestId() + "." + number;
    }
}
