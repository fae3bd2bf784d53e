package org.quetzalseam.gateway.dispatch;

import org.quetzalseam.core.dispatch.CallQueue;
import org.quetzalseam.core.dispatch.PlaceQueue;

/** Creates the queues of module {@code core}. Stateless. */
public final class CoreQueues implements QueueFactory {
    @Override
    public boolean supports(boolean staged) {
        return !staged;
    }

    @Override
    public PlaceQueue create(boolean staged, PlaceQueue.Listener listener, long now) {
        return new CallQueue(listener, now);
    }
}
