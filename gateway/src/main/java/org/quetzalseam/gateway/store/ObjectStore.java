package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;

/** The platform's object store. Calls return at once; exactly one of the two consumers is called on the event loop. */
public interface ObjectStore {
    /** Lists a page of a kind, beginning after a name, or with the first one where that is null. */
    void list(String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);

    /** Lists the first page of a kind as it was some seconds ago at most, which costs the platform less. */
    void listRecent(String kind, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);

    /** Waits for changes of a kind since a position, for so long at most. */
    void watch(
            String kind,
            StorePosition from,
            long waitMillis,
            Consumer<ObjectChanges> done,
            Consumer<StoreFailure> failed);

    /** Reads an object. */
    void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /** Reads an object as it was some seconds ago at most, which costs the platform less. */
    void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /** Creates an object; a conflict says that there is one of that name. */
    void create(String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /**
     * Replaces an object's content if it is still at the position. The store itself knows revisions only: where its answer is of
     * a later era, the revision may have been another writer's, and what was replaced another object than the one meant.
     */
    void replace(
            String kind,
            String name,
            StorePosition expected,
            JsonNode spec,
            Consumer<StoredObject> done,
            Consumer<StoreFailure> failed);

    /** Makes no further call over a connection that is open now: one of them has gone silent, so the others may have too. */
    void retireConnections();

    /** Returns the newest position that an answer has shown; its era is that of the newest answer. */
    StorePosition position();
}
