package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;

/** Keeps the consumers of the last call, so that the test can answer it. */
final class FakeStore implements ObjectStore {
    Consumer<ObjectPage> listed = page -> {};
    Consumer<ObjectChanges> changed = changes -> {};
    Consumer<StoreFailure> failed = failure -> {};

    @Nullable
    String after;

    long watchedFrom;
    long waitMillis;
    int calls;
    int lists;

    @Nullable
    Error thrown;

    int retirements;

    private void begin() {
        if (thrown != null) {
            throw thrown;
        }
        calls++;
    }

    @Override
    public void list(String kind, @Nullable String from, Consumer<ObjectPage> done, Consumer<StoreFailure> failure) {
        begin();
        lists++;
        after = from;
        listed = done;
        failed = failure;
    }

    @Override
    public void watch(
            String kind, StorePosition from, long wait, Consumer<ObjectChanges> done, Consumer<StoreFailure> failure) {
        begin();
        watchedFrom = from.revision();
        waitMillis = wait;
        changed = done;
        failed = failure;
    }

    @Override
    public void retireConnections() {
        retirements++;
    }

    @Override
    public StorePosition position() {
        throw new UnsupportedOperationException();
    }

    @Override
    public void listRecent(
            String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failure) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failure) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failure) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void create(
            String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failure) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void replace(
            String kind,
            String name,
            StorePosition expected,
            JsonNode spec,
            Consumer<StoredObject> done,
            Consumer<StoreFailure> failure) {
        throw new UnsupportedOperationException();
    }
}
