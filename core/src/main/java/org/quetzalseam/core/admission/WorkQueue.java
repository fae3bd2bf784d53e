package org.quetzalseam.core.admission;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Order in which waiting attempts are served. Implementations are not thread-safe: the gate that owns a queue guards it.
 */
public interface WorkQueue {
    /** Returns a queue that is fair among owners and keeps short work ahead of long work. */
    static WorkQueue fair() {
        return new FairQueue();
    }

    /** Returns a queue in order of arrival, the baseline that the fair queue is measured against. */
    static WorkQueue fifo() {
        return new FifoQueue();
    }

    /** Adds an attempt at the end of its line. */
    void add(QueuedAttempt ticket);

    /** Removes and returns the next attempt that the predicate accepts. */
    Optional<QueuedAttempt> poll(Predicate<QueuedAttempt> startable);

    /** Removes one attempt. Returns false when it does not wait here. */
    boolean remove(AttemptId id);

    /** Removes and returns the attempts whose wait is over at {@code now}. */
    List<QueuedAttempt> expire(long now);

    /** Removes and returns everything, in no particular order. */
    List<QueuedAttempt> drain();

    /** Returns how many attempts of one catalogue entry wait here. */
    int waiting(String entry);

    /** Returns the summed cost of what would be served before a new attempt of this class. */
    long costAhead(WorkClass workClass);

    /** Returns how many attempts wait here. */
    int size();
}
