package org.quetzalseam.gateway.route;

import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * The KV cache of a prefilled prompt. Immutable.
 *
 * @param holder the engine that keeps the cache for a short time
 * @param handle the engine's handle of the cache
 */
record KvCache(Endpoint holder, String handle) {}
