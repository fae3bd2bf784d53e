package org.quetzalseam.gateway.access;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.access.Team;

/**
 * Whether a request may be made, as far as its key decides that. Immutable.
 *
 * @param verdict the decision
 * @param reason why, for the log; never contains a key
 * @param team the team that makes the request, or null if it needs none or is not allowed
 */
public record AccessDecision(
        Verdict verdict, String reason, @Nullable Team team) {
    /** The decisions. */
    public enum Verdict {
        /** The request may be made. */
        ALLOWED,
        /** The request has no key that is in force. */
        DENIED,
        /** The entry can't know now whether the key is in force. */
        IN_DOUBT
    }
}
