package org.quetzalseam.gateway.entry;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;

/**
 * The entry count when names of running entries are missing from the store. Guards against an entry that registers its name
 * only once: after a restore it counted two entries where three were running, and its rank was also the rank of another
 * entry.
 */
class EntryRegistryRestoreTest {
    private static final String KIND = "quetzalseam-entries";

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<EntryCount> counted = new ArrayList<>();
    private final MemoryStore store = new MemoryStore();

    private void start(String self) {
        channel.freezeTime();
        new EntryRegistry(new Timers(channel.eventLoop()), store, self, counted::add).start();
    }

    private void put(String name) {
        store.put(KIND, name, JsonNodeFactory.instance.objectNode());
    }

    private void passSeconds(int seconds) {
        for (int i = 0; i < seconds; i++) {
            channel.advanceTimeBy(1, TimeUnit.SECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    private EntryCount last() {
        return counted.get(counted.size() - 1);
    }

    @Test
    void aNameMissingFromARestoredCopyIsRegisteredAgain() {
        put("a");
        put("b");
        MemoryStore.Copy copy = store.copy();
        start("c");
        passSeconds(20);
        assertThat(last()).isEqualTo(new EntryCount(3, 2));
        store.restore(copy);
        passSeconds(200);
        assertThat(store.spec(KIND, "c")).isNotNull();
        assertThat(last()).isEqualTo(new EntryCount(3, 2));
    }

    @Test
    void otherEntriesCountAsPresentUntilTheyCouldRegisterAgain() {
        put("a");
        MemoryStore.Copy copy = store.copy();
        start("c");
        put("b");
        passSeconds(20);
        assertThat(last()).isEqualTo(new EntryCount(3, 2));
        counted.clear();
        store.restore(copy);
        passSeconds(5);
        put("b");
        passSeconds(20);
        assertThat(counted)
                .as("a lower count would allow too large a budget share for a moment")
                .isEmpty();
    }

    @Test
    void aNameThatAnOperatorDeletesIsRegisteredAgain() {
        put("a");
        start("b");
        passSeconds(20);
        store.remove(KIND, "b");
        passSeconds(20);
        assertThat(store.spec(KIND, "b")).isNotNull();
        assertThat(last()).isEqualTo(new EntryCount(2, 1));
    }
}
