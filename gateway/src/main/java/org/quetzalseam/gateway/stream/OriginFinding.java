package org.quetzalseam.gateway.stream;

import java.util.Optional;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.peer.PeerOrigin;

/**
 * The result of a search for the origin of a stream. Immutable.
 *
 * @param origin where the stream began, or empty if no entry that answered knows
 * @param source the entry that knows, or empty text
 * @param ageMillis how long ago that entry recorded it, in milliseconds; below 0 if that is not known
 * @param asked number of entries asked
 * @param silent number of these that did not answer
 */
public record OriginFinding(Optional<StreamOrigin> origin, String source, long ageMillis, int asked, int silent) {
    private static final long UNKNOWN_AGE = -1;
    /** The finding where no entry could be asked, because the caller did not name the attempt. */
    public static final OriginFinding NOT_ASKED = unknown(0, 0);

    static OriginFinding known(PeerOrigin known, String source, int asked) {
        return new OriginFinding(Optional.of(known.origin()), source, known.ageMillis(), asked, 0);
    }

    /** Returns the finding of an origin that an entry has noted in the store, which does not state when. */
    static OriginFinding noted(StreamOrigin origin, String entry) {
        return new OriginFinding(Optional.of(origin), entry, UNKNOWN_AGE, 0, 0);
    }

    static OriginFinding unknown(int asked, int silent) {
        return new OriginFinding(Optional.empty(), "", 0, asked, silent);
    }

    /** Returns the finding as {@code key=value} pairs for the log. */
    public String describe() {
        return origin.map(known -> String.format(
                        "origin_service=%s origin_endpoint=%s origin_build=%s source=%s%s asked=%d",
                        known.service(),
                        known.endpoint().id(),
                        known.build(),
                        source,
                        ageMillis < 0 ? "" : " record_age_ms=" + ageMillis,
                        asked))
                .orElseGet(() -> String.format("source=none asked=%d silent=%d", asked, silent));
    }
}
