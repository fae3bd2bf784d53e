package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Load;

/**
 * A reply of an endpoint to an attempt, or the loss of the endpoint. Immutable.
 *
 * @param link the endpoint
 * @param reply the reply, or {@link Lost}
 */
record AttemptEvent(EndpointLink link, AttemptReply reply) {
    /**
     * Takes the place of a reply that will not arrive: the endpoint restarted or was not reached within the lease.
     *
     * @param attempt the attempt
     */
    record Lost(AttemptId attempt) implements AttemptReply {
        @Override
        public Load load() {
            return Load.unknown();
        }
    }
}
