package org.quetzalseam.wire.connection;

import java.security.SecureRandom;
import org.quetzalseam.wire.message.Role;

/**
 * The identity of a process. Immutable.
 *
 * @param role its role
 * @param name its name, from its settings
 * @param zone its availability zone
 * @param incarnation random number chosen at its start; a restarted process has a different one
 */
public record Identity(Role role, String name, String zone, long incarnation) {
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Returns the identity of a process that starts now, with a new incarnation. */
    public static Identity start(Role role, String name, String zone) {
        return new Identity(role, name, zone, RANDOM.nextLong());
    }
}
