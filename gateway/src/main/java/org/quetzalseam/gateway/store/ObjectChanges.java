package org.quetzalseam.gateway.store;

import java.util.List;
import org.quetzalseam.core.store.StorePosition;

/**
 * What has changed since a position. Immutable.
 *
 * @param changes the changes, oldest first; empty when the wait ended without one
 * @param position the position to go on from; of a later era than the one asked about, it leaves out what that era lacks
 */
public record ObjectChanges(List<Change> changes, StorePosition position) {
    /**
     * One change. Immutable.
     *
     * @param object the object as it is now, or as it was last
     * @param deleted whether it is gone
     */
    public record Change(StoredObject object, boolean deleted) {}
}
