package org.quetzalseam.gateway.route;

import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * Memory booked at a decode engine. Immutable.
 *
 * @param engine the engine
 * @param id the engine's name of the booking
 * @param tokens how much was booked
 * @param prefillsPrompt whether the engine is to read the prompt as well
 */
record BookedMemory(Endpoint engine, String id, int tokens, boolean prefillsPrompt) {}
