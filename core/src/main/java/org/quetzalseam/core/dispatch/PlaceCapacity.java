package org.quetzalseam.core.dispatch;

import org.quetzalseam.core.fleet.Incarnation;

/**
 * An endpoint that places are given at. Immutable.
 *
 * @param endpoint the endpoint
 * @param slots number of requests that it states to run at once
 * @param memoryTokens its decode memory, in tokens; 0 if it has none or does not state it
 */
public record PlaceCapacity(Incarnation endpoint, int slots, long memoryTokens) {}
