package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;

/** The platform's object store. Calls return at once; exactly one of the two consumers is called on the event loop. */
public interface ObjectStore {
    /** Lists a page of a kind, beginning after a name, or at the first object where the name is null. */
    void list(String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);

    /** Lists a page in the same way, from a state that may be some seconds old, which costs the platform less. */
    void listRecent(String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);

    /** Waits for changes of a kind since a position, for at most the given time. */
    void watch(
            String kind,
            StorePosition from,
            long waitMillis,
            Consumer<ObjectChanges> done,
            Consumer<StoreFailure> failed);

    /** Reads an object. */
    void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /** Reads an object from a state that may be some seconds old, which costs the platform less. */
    void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /** Creates an object; a conflict means that one of that name exists. */
    void create(String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /**
     * Replaces an object's content if it is still at the expected position. The store itself compares revisions only: where its
     * answer is of a later era, the revision may have been another writer's, and the content replaced may not be the expected one.
     */
    void replace(
            String kind,
            String name,
            StorePosition expected,
            JsonNode spec,
            Consumer<StoredObject> done,
            Consumer<StoreFailure> failed);

    /** Makes no further call over a connection that is open now: one of them is unresponsive, so the others may be as well. */
    void retireConnections();

    /** Returns the newest position that an answer has shown; its era is that of the newest answer. */
    StorePosition position();
}
