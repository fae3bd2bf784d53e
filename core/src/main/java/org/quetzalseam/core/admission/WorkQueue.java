package org.quetzalseam.core.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Waiting attempts in the order in which they are served. Implementations are not thread-safe: the owner of a queue
 * synchronizes access.
 */
public interface WorkQueue {
    /** Returns a queue that is fair among owners and keeps short work ahead of long work. */
    static WorkQueue fair() {
        return new FairQueue();
    }

    /** Returns a queue in order of arrival, the baseline for measurements of the fair queue. */
    static WorkQueue fifo() {
        return new FifoQueue();
    }

    /** Appends an attempt to the queue of its owner and class, or to the single queue of the baseline. */
    void add(QueuedAttempt attempt);

    /** Removes and returns the next attempt that the predicate accepts. */
    Optional<QueuedAttempt> poll(Predicate<QueuedAttempt> startable);

    /** Removes one attempt. Returns false when it is not in this queue. */
    boolean remove(AttemptId id);

    /** Removes and returns the attempts whose deadline is before {@code now}, in monotonic nanoseconds. */
    List<QueuedAttempt> expire(long now);

    /** Removes and returns all attempts, in no particular order. */
    List<QueuedAttempt> drain();

    /** Returns the number of waiting attempts of one catalogue entry. */
    int waiting(String entry);

    /** Returns the total cost of the attempts that would be served before a new attempt of this class. */
    long costAhead(WorkClass workClass);

    /** Returns the number of waiting attempts. */
    int size();
}
