package org.quetzalseam.core.dispatch;

/**
 * Identifies one request for a place. Immutable.
 *
 * @param entry name of the entry that asks
 * @param number number that this entry gave the request; it is not used again while the entry runs
 */
public record Ticket(String entry, long number) {}
