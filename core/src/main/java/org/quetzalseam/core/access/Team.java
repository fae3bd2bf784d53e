package org.quetzalseam.core.access;

/**
 * A team that may call the site. Immutable.
 *
 * @param name the team's name
 * @param allowance how much it may ask
 * @param priority priority of its requests, before that of their routes; 0 is the most urgent
 */
public record Team(String name, Allowance allowance, int priority) {
    /** Creates a team whose requests are the most urgent. */
    public Team(String name, Allowance allowance) {
        this(name, allowance, 0);
    }
}
