package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import org.quetzalseam.core.store.StorePosition;

/**
 * One object of the store. Immutable.
 *
 * @param name its name, unique within its kind; empty where it could not be read
 * @param position the store's position at its last change, with {@link #UNKNOWN_REVISION} where it could not be read
 * @param spec its content as its writer stored it, of any type; a missing node where it could not be read
 */
public record StoredObject(String name, StorePosition position, JsonNode spec) {
    /** The revision of an object whose revision could not be read; lower than any of the store's. */
    public static final long UNKNOWN_REVISION = -1;
}
