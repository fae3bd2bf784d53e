package org.quetzalseam.wire.message;

/**
 * Answers a heartbeat.
 *
 * @param load the endpoint's load
 * @param catalogue highest version of the catalogue that the endpoint has received
 * @param members highest version of the list of VMs that the endpoint has received
 */
public record HeartbeatAck(Load load, long catalogue, long members) implements Message {}
