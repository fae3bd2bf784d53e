package org.quetzalseam.gateway.route;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.endpoint.Endpoint;

/**
 * Binds one stream to the build whose endpoint begins it, from the head of its answer on: the caller may have received
 * events from then on, and may not receive events of another build after them. Used on the event loop only.
 */
final class StreamBinding {
    private final Directory directory;
    private @Nullable StreamOrigin origin;

    StreamBinding(Directory directory) {
        this.directory = directory;
    }

    /** Returns where the stream began; null before it has begun. */
    @Nullable
    StreamOrigin origin() {
        return origin;
    }

    /** Returns whether there is an endpoint now that may run the stream, or the rest of it. */
    boolean canRun() {
        StreamOrigin began = origin;
        return began == null || directory.mayGoOn(began);
    }

    /** Records that the answer of an endpoint has begun. */
    void recordBegun(Endpoint endpoint) {
        if (origin == null) {
            origin = StreamOrigin.at(endpoint.member());
        }
    }
}
