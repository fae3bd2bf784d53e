package org.quetzalseam.gateway.store;

import org.quetzalseam.core.store.StorePosition;

/** How well the newest state of one kind of objects is known. Used on the event loop only. */
public interface KindFreshness {
    /** Returns how old the newest word from the store is, in milliseconds. */
    long ageMillis();

    /** Returns the store's position that this word showed. */
    StorePosition position();

    /** Returns whether the state is known to be the newest but for changes that needn't be in force yet. */
    boolean current();

    /** Asks the store what the newest state is, and calls back when it has answered, or at once where it can't be known now. */
    void refresh(Runnable answered);
}
