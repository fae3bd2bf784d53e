package org.quetzalseam.gateway.peer;

/**
 * What an entry knows of the desired state from the store. Immutable.
 *
 * @param version the version in force
 * @param ageMillis how long ago, at the most, the store had no newer one, in milliseconds
 */
public record ProvedState(long version, long ageMillis) {}
