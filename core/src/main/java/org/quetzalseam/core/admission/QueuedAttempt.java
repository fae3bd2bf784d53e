package org.quetzalseam.core.admission;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * A waiting attempt with the properties that decide when a queue serves it. Immutable.
 *
 * @param id the attempt
 * @param owner the owner whose share of the queue it uses
 * @param entry the catalogue entry whose queue-length limit it counts against
 * @param workClass the class of work
 * @param weight the owner's weight, positive
 * @param cost size of the work in any unit that is the same throughout one queue, such as tokens
 * @param deadlineNanos time after which it must not be started, in nanoseconds of the endpoint's monotonic clock
 */
public record QueuedAttempt(
        AttemptId id, String owner, String entry, WorkClass workClass, int weight, long cost, long deadlineNanos) {
    /** Checks that weight and cost are positive. */
    public QueuedAttempt {
        if (weight < 1 || cost < 1) {
            throw new IllegalArgumentException("weight, cost: expected at least 1, got " + weight + ", " + cost);
        }
    }
}
