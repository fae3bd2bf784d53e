package org.quetzalseam.wire.message;

import java.util.List;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Renews the leases of the attempts that an entry holds at an endpoint. The entry sends it at a fixed interval.
 *
 * @param attempts all attempts that the entry holds at this endpoint
 * @param catalogue version of the catalogue in force at the entry
 * @param members version of the list of VMs that the entry uses
 */
public record Heartbeat(List<AttemptId> attempts, long catalogue, long members) implements Message {}
