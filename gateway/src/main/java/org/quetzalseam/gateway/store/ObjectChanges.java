package org.quetzalseam.gateway.store;

import java.util.List;
import org.quetzalseam.core.store.StorePosition;

/**
 * The changes of a kind since a position. Immutable.
 *
 * @param changes the changes, oldest first; empty when the wait ended without one
 * @param position the position to continue from; if its era is later than that of the requested position, the changes lack those
 *     that the new era does not contain
 * @param mayBeCut whether the store may have ended the answer before the newest change, because of its length
 */
public record ObjectChanges(List<Change> changes, StorePosition position, boolean mayBeCut) {
    /** Creates changes up to the newest one. */
    public ObjectChanges(List<Change> changes, StorePosition position) {
        this(changes, position, false);
    }

    /**
     * One change. Immutable.
     *
     * @param object the object as it is now, or as it was before its deletion
     * @param deleted whether it was deleted
     */
    public record Change(StoredObject object, boolean deleted) {}
}
