package org.quetzalseam.daemon.engine;

/**
 * A request to an engine. Immutable; the array is not copied and must not be changed.
 *
 * @param id identifier by which it can be cancelled
 * @param priority requests with lower numbers run first, if the engine supports priorities
 * @param body the caller's request, as JSON
 */
public record EngineRequest(String id, int priority, byte[] body) {}
