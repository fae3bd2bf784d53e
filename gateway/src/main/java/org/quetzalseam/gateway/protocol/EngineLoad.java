package org.quetzalseam.gateway.protocol;

/**
 * The load that an engine reports, some hundred milliseconds old. Immutable.
 *
 * @param startMillis when the engine started, in Unix milliseconds; identifies its incarnation
 * @param queued number of queued requests
 * @param running number of running requests
 * @param memoryUsed memory that cannot be freed, in tokens
 * @param memoryTotal total memory, in tokens
 * @param orders number of orders accepted in this incarnation
 * @param changing whether an order is being carried out
 */
public record EngineLoad(
        long startMillis, int queued, int running, long memoryUsed, long memoryTotal, long orders, boolean changing) {}
