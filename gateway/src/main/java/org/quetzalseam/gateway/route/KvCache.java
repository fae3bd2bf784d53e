package org.quetzalseam.gateway.route;

import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * The KV cache of a prompt that was read. Immutable.
 *
 * @param holder the engine that keeps it for a short time
 * @param handle the engine's name of it
 */
record KvCache(Endpoint holder, String handle) {}
