package org.quetzalseam.gateway.peer;

import org.quetzalseam.core.dispatch.PlaceRequest;

/**
 * Asks the dispatcher of a group of endpoints for a place. Immutable.
 *
 * @param service the service
 * @param group number of the group among those of the service, from 0
 * @param request the request that needs the place; its ticket is not sent
 */
public record PlaceAsk(String service, int group, PlaceRequest request) {}
