package org.quetzalseam.gateway.route;

import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * Decode memory booked at an engine. Immutable.
 *
 * @param engine the engine
 * @param id the engine's id of the booking
 * @param tokens booked memory, in tokens
 * @param prefillsPrompt whether the decode engine also prefills the prompt
 */
record BookedMemory(Endpoint engine, String id, int tokens, boolean prefillsPrompt) {}
