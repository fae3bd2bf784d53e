package org.quetzalseam.core.placement;

/**
 * An endpoint that an attempt may be sent to, with the load that the entry knows of. Immutable.
 *
 * @param id the endpoint's name
 * @param zone its availability zone
 * @param free free slots in its last report, less the attempts sent since then
 * @param backlog cost of the waiting and running work in its last report, plus the work sent since then
 */
public record Candidate(String id, String zone, int free, long backlog) {}
