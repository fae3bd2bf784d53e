package org.quetzalseam.gateway.store;

import org.quetzalseam.core.store.StorePosition;

/** Reports how current the known state of one kind of objects is. Used on the event loop only. */
public interface KindFreshness {
    /** Returns the age of the store's last response, in milliseconds. */
    long ageMillis();

    /** Returns the store's position that the last response showed. */
    StorePosition position();

    /** Returns whether the state is known to be the newest, except for changes that need not be in force yet. */
    boolean current();

    /**
     * Requests the newest state from the store.
     *
     * @param answered called once the store has answered or the call has failed; called at once where the newest state cannot be
     *     known now
     */
    void refresh(Runnable answered);
}
