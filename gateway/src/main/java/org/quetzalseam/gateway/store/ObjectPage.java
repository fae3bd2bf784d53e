package org.quetzalseam.gateway.store;

import java.util.List;

/**
 * A page of a listing. Immutable.
 *
 * @param objects the objects, in the order of their names
 * @param more whether another page follows
 * @param revision the store's revision that the page shows
 */
public record ObjectPage(List<StoredObject> objects, boolean more, long revision) {}
