package org.quetzalseam.core.routing;

/**
 * Settings of one service. Immutable.
 *
 * @param name the service's name
 * @param maxConnections maximum number of connections that one of its endpoints accepts from all entries together
 */
public record ServiceRule(String name, int maxConnections) {}
