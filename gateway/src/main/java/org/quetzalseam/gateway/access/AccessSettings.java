package org.quetzalseam.gateway.access;

import org.quetzalseam.core.access.AllowanceBounds;

/**
 * How strictly teams' keys and allowances bind. Immutable.
 *
 * @param revocationMillis time after which a key that has been revoked must not be accepted anywhere, in milliseconds; 0 if an entry
 *     may accept keys for as long as it cannot reach the store
 * @param bounds by how much all entries together may exceed an allowance
 */
public record AccessSettings(long revocationMillis, AllowanceBounds bounds) {
    /** The settings of a site that does not state any: no time limit, and allowances that are exceeded by next to nothing. */
    public static final AccessSettings DEFAULT = new AccessSettings(0, new AllowanceBounds(8, 0.1, 0));
}
