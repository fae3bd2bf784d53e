package org.quetzalseam.gateway.protocol;

/**
 * What an engine reports of its load; some hundred milliseconds old. Immutable.
 *
 * @param startMillis when the engine started, in Unix milliseconds: which life of it this is the load of
 * @param queued requests that wait
 * @param running requests that run
 * @param memoryUsed memory that can't be given up, in tokens
 * @param memoryTotal memory in all, in tokens
 * @param orders orders it has accepted in this life
 * @param changing whether an order is being carried out
 */
public record EngineLoad(
        long startMillis, int queued, int running, long memoryUsed, long memoryTotal, long orders, boolean changing) {}
