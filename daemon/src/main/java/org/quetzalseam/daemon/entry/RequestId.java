package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Identifies a request. Immutable.
 *
 * @param entry incarnation of the entry process
 * @param counter sequence number of the request within the incarnation
 */
public record RequestId(long entry, long counter) {
    /** Returns the id of the request's first attempt. */
    AttemptId firstAttempt() {
        return new AttemptId(entry, counter, 1);
    }

    @Override
    public String toString() {
        return firstAttempt().requestId();
    }
}
