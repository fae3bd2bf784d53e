package org.quetzalseam.gateway.protocol;

/**
 * What an engine reports of its load; some hundred milliseconds old. Immutable.
 *
 * @param queued requests that wait
 * @param running requests that run
 * @param memoryUsed memory that can't be given up, in tokens
 * @param memoryTotal memory in all, in tokens
 * @param orders orders it has accepted since its start
 * @param changing whether an order is being carried out
 */
public record EngineLoad(int queued, int running, long memoryUsed, long memoryTotal, long orders, boolean changing) {}
