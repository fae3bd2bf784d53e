package org.quetzalseam.gateway.entry;

/** Receives what the {@link EntryRegistry} learns of the entries of a site. Called on the event loop. */
public interface EntryListener {
    /** Called when the number of entries, or the rank of this one, has changed. */
    void counted(EntryCount count);

    /** Called with each list of the entries. */
    default void listed(EntryList list) {}

    /** Called when the name of this entry has been added to the site. */
    default void added() {}
}
