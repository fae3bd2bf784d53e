package org.quetzalseam.gateway.route;

import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * Memory booked at a decode engine. Immutable.
 *
 * @param engine the engine
 * @param id the engine's name of the booking
 * @param tokens how much was booked
 */
record BookedMemory(Endpoint engine, String id, int tokens) {}
