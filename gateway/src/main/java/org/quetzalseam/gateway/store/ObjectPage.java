package org.quetzalseam.gateway.store;

import java.util.List;
import java.util.Optional;
import org.quetzalseam.core.store.StorePosition;

/**
 * A page of a list of objects. Immutable.
 *
 * @param objects the objects, in the order of their names
 * @param more whether another page follows
 * @param position the store's position that the page shows
 */
public record ObjectPage(List<StoredObject> objects, boolean more, StorePosition position) {
    /** Returns the name of the last object that has one. */
    public Optional<String> lastName() {
        return objects.stream()
                .map(StoredObject::name)
                .filter(name -> !name.isEmpty())
                .reduce((name, next) -> next);
    }
}
