package org.quetzalseam.gateway.store;

import java.util.List;

/**
 * What has changed since a revision. Immutable.
 *
 * @param changes the changes, oldest first; empty when the wait ended without one
 * @param revision the revision to go on from
 */
public record ObjectChanges(List<Change> changes, long revision) {
    /**
     * One change. Immutable.
     *
     * @param object the object as it is now, or as it was last
     * @param deleted whether it is gone
     */
    public record Change(StoredObject object, boolean deleted) {}
}
