package org.quetzalseam.wire.message;

/**
 * Asks an endpoint for the newest catalogue and list of VMs that it has received.
 */
public record FetchState() implements Message {}
