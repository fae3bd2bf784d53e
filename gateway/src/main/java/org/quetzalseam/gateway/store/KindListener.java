package org.quetzalseam.gateway.store;

import java.util.List;

/** Learns what is in one kind of objects and how it changes, on the event loop. */
public interface KindListener {
    /**
     * Takes all objects of the kind.
     *
     * @param objects the objects
     * @param storeWasAway whether the store has just come back from an outage, in which entries may have lapsed
     */
    void listed(List<StoredObject> objects, boolean storeWasAway);

    /** Takes an object that is new or has changed. */
    void changed(StoredObject object);

    /** Takes an object that is gone. */
    void deleted(StoredObject object, boolean storeWasAway);
}
