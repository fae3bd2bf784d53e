package org.quetzalseam.core.catalogue;

/**
 * A plain service of the catalogue. Immutable.
 *
 * @param name the service's name, as it appears in the request path
 * @param pool pool of the endpoints that serve it
 */
public record ServiceSpec(String name, String pool) {}
