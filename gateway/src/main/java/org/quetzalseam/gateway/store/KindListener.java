package org.quetzalseam.gateway.store;

import java.util.List;

/** Receives the objects of one kind and their changes, on the event loop. */
public interface KindListener {
    /**
     * Handles a complete list of the kind's objects.
     *
     * @param objects the objects
     * @param rewriteNanos for how much longer objects of live processes may be missing, in nanoseconds, because they lapsed in an
     *     outage of the store; 0 if none should be
     */
    void listed(List<StoredObject> objects, long rewriteNanos);

    /** Handles an object that is new or has changed. */
    void changed(StoredObject object);

    /**
     * Handles an object that has been deleted.
     *
     * @param object the object as it was last
     * @param rewriteNanos for how much longer objects of live processes may be missing, in nanoseconds, because they lapsed in an
     *     outage of the store; 0 if none should be
     */
    void deleted(StoredObject object, long rewriteNanos);

    /** Returns whether changes before the newest one of an object are of no use, so that a list may take their place. */
    default boolean newestSuffices() {
        return false;
    }
}
