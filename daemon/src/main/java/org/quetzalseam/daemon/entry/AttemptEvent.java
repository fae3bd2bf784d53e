package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Load;

/**
 * Something that an endpoint said of an attempt, or the loss of the endpoint. Immutable.
 *
 * @param link the endpoint
 * @param reply what it said
 */
record AttemptEvent(EndpointLink link, AttemptReply reply) {
    /**
     * Stands for a reply that will never come: the endpoint was restarted or can't be reached within the lease.
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
