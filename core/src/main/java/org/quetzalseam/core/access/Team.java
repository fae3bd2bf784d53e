package org.quetzalseam.core.access;

/**
 * A team that may call the site. Immutable.
 *
 * @param name the team's name
 * @param allowance how much it may ask
 */
public record Team(String name, Allowance allowance) {}
