package org.quetzalseam.gateway.peer;

import java.util.Optional;
import org.quetzalseam.core.stream.StreamOrigin;

/** Keeps records of where streams began, on behalf of other entries. Used on the event loop only. */
public interface OriginKeeper {
    /** Records where the attempt with the given id began a stream, for the given time in milliseconds. */
    void keep(String attempt, StreamOrigin origin, long keepMillis);

    /** Returns what this entry knows of where an attempt began a stream. */
    Optional<PeerOrigin> known(String attempt);
}
