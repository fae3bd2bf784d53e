package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** The platform's object store. Calls return at once; exactly one of the two consumers is called on the event loop. */
public interface ObjectStore {
    /** Lists a page of a kind, beginning after a name, or with the first one where that is null. */
    void list(String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);

    /** Lists the first page of a kind as it was some seconds ago at most, which costs the platform less. */
    void listRecent(String kind, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);

    /** Waits for changes of a kind since a revision, for so long at most. */
    void watch(
            String kind, long revision, long waitMillis, Consumer<ObjectChanges> done, Consumer<StoreFailure> failed);

    /** Reads an object. */
    void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /** Reads an object as it was some seconds ago at most, which costs the platform less. */
    void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /** Creates an object; a conflict says that there is one of that name. */
    void create(String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failed);

    /** Replaces an object's content if it is still at the revision. */
    void replace(
            String kind,
            String name,
            long revision,
            JsonNode spec,
            Consumer<StoredObject> done,
            Consumer<StoreFailure> failed);
}
