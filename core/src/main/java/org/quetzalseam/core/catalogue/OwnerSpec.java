package org.quetzalseam.core.catalogue;

import java.util.List;

/**
 * An owner (a team) in the catalogue. Immutable.
 *
 * @param name the owner's name
 * @param weight relative share of the owner in each queue, at least 1
 * @param tokenDigests SHA-256 digests of the owner's bearer tokens, in lower-case hexadecimal
 */
public record OwnerSpec(String name, int weight, List<String> tokenDigests) {
    /** Copies the list of digests. */
    public OwnerSpec {
        tokenDigests = List.copyOf(tokenDigests);
    }
}
