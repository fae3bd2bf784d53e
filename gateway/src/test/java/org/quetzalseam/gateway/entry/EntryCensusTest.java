package org.quetzalseam.gateway.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectChanges;
import org.quetzalseam.gateway.store.ObjectPage;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

class EntryCensusTest {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Integer> counted = new ArrayList<>();
    private final FakeStore store = new FakeStore();

    private void start() {
        channel.freezeTime();
        new EntryCensus(new Timers(channel.eventLoop()), store, "self", counted::add).start();
    }

    private void passSeconds(int seconds) {
        for (int i = 0; i < seconds; i++) {
            channel.advanceTimeBy(1, TimeUnit.SECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    @Test
    void aChangedNumberIsToldOnce() {
        store.entries = 5;
        start();
        passSeconds(20);
        store.entries = 6;
        passSeconds(20);
        assertThat(counted).containsExactly(5, 6);
    }

    @Test
    void countingCostsALargeSiteNoMoreASecondThanASmallOne() {
        store.entries = 400;
        start();
        passSeconds(1_000);
        assertThat(store.lists).isBetween(8, 12);
    }

    @Test
    void whileTheStoreDeclinesTheNameIsLeftAgain() {
        store.declining = true;
        start();
        passSeconds(12);
        store.declining = false;
        store.entries = 3;
        passSeconds(12);
        assertThat(counted).containsExactly(3);
    }

    /** Answers at once. */
    private static final class FakeStore implements ObjectStore {
        private int entries;
        private int lists;
        private boolean declining;

        @Override
        public void listRecent(String kind, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
            lists++;
            List<StoredObject> names = new ArrayList<>();
            for (int i = 0; i < entries; i++) {
                names.add(new StoredObject("e" + i, i, JsonNodeFactory.instance.objectNode()));
            }
            done.accept(new ObjectPage(names, false, entries));
        }

        @Override
        public void create(
                String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
            if (declining) {
                failed.accept(new StoreFailure(StoreFailure.Kind.DECLINED, "status 503"));
            } else {
                done.accept(new StoredObject(name, 1, spec));
            }
        }

        @Override
        public void list(
                String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void watch(
                String kind, long from, long wait, Consumer<ObjectChanges> done, Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void replace(
                String kind,
                String name,
                long revision,
                JsonNode spec,
                Consumer<StoredObject> done,
                Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }
    }
}
