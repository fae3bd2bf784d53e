package org.quetzalseam.gateway.dispatch;

import org.quetzalseam.core.dispatch.PlaceQueue;

/** Creates the queues in which requests wait for places. */
public interface QueueFactory {
    /** Returns whether there are queues for a kind of service; if not, this entry decides for no group of such a service. */
    boolean supports(boolean staged);

    /**
     * Creates an empty queue.
     *
     * @param staged whether the service's endpoints run stages of generations, as opposed to whole calls
     * @param now monotonic time in nanoseconds
     */
    PlaceQueue create(boolean staged, PlaceQueue.Listener listener, long now);
}
