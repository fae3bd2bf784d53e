package org.quetzalseam.core.routing;

/**
 * What is configured of one service. Immutable.
 *
 * @param name the service's name
 * @param maxConnections the most connections that one of its endpoints takes from all entries together
 */
public record ServiceRule(String name, int maxConnections) {}
