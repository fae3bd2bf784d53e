package org.quetzalseam.gateway.peer;

import org.quetzalseam.core.dispatch.PlaceOutcome;

/** A request for a place at another entry, and the place that it brings. Used on the event loop only. */
@FunctionalInterface
public interface PeerPlace {
    /** Reports that the place is not used any more, or drops the request if it is not decided yet. */
    void end(PlaceOutcome outcome, long responseNanos);
}
