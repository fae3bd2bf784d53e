package org.quetzalseam.gateway.peer;

import java.util.Optional;

/**
 * Another entry's answer to where a stream began. Immutable.
 *
 * @param origin what it knows, or empty if it does not know or has not answered
 * @param silent whether it has not answered in time
 */
public record OriginAnswer(Optional<PeerOrigin> origin, boolean silent) {
    static final OriginAnswer SILENT = new OriginAnswer(Optional.empty(), true);
}
