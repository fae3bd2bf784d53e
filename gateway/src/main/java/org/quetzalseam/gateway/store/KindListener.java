package org.quetzalseam.gateway.store;

import java.util.List;

/** Receives the objects of one kind and their changes, on the event loop. */
public interface KindListener {
    /**
     * Handles a complete list of the kind's objects.
     *
     * @param objects the objects
     * @param storeJustRecovered whether the store has just recovered from an outage, in which registrations may have lapsed
     */
    void listed(List<StoredObject> objects, boolean storeJustRecovered);

    /** Handles an object that is new or has changed. */
    void changed(StoredObject object);

    /**
     * Handles an object that has been deleted.
     *
     * @param object the object as it was last
     * @param storeJustRecovered whether the store has just recovered from an outage, in which registrations may have lapsed
     */
    void deleted(StoredObject object, boolean storeJustRecovered);
}
