package org.quetzalseam.wire.message;

import java.util.List;

/**
 * Answers a heartbeat, and reports crashes of the back end when they happen.
 *
 * @param load the endpoint's load
 * @param catalogue highest version of the catalogue that the endpoint has received
 * @param members highest version of the list of VMs that the endpoint has received
 * @param lost requests lost in crashes that were not reported on this connection before
 */
public record HeartbeatAck(Load load, long catalogue, long members, List<LostRequest> lost) implements Message {
    /** Makes the list immutable. */
    public HeartbeatAck {
        lost = List.copyOf(lost);
    }

    /** Creates an answer that reports no crash. */
    public HeartbeatAck(Load load, long catalogue, long members) {
        this(load, catalogue, members, List.of());
    }
}
