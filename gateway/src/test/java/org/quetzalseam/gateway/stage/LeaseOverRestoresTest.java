package org.quetzalseam.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;
import org.quetzalseam.gateway.store.ObjectChanges;
import org.quetzalseam.gateway.store.ObjectPage;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Simulates entries that take the lease over, restart, and have their calls and answers delayed, with a store that is restored from
 * older copies at random times. Orders take up to three seconds; each is checked when it is executed.
 */
class LeaseOverRestoresTest {
    private static final int SITES = 300;
    private static final int STEPS = 2_000;
    private static final int MAX_STEP_MILLIS = 500;
    private static final int MAX_ORDER_DELAY_MILLIS = 3_000;
    private static final int MAX_ANSWER_DELAY_MILLIS = 700;

    @Test
    void epochsIncreaseAndEachBelongsToOneHolder() {
        int executedOrders = 0;
        int terms = 0;
        for (int seed = 0; seed < SITES; seed++) {
            RandomSite site = new RandomSite(seed);
            for (int i = 0; i < STEPS; i++) {
                site.step();
            }
            assertThat(site.findings).as("seed %d", seed).isEmpty();
            executedOrders += site.executedOrders;
            terms += site.holderOfEpoch.size();
        }
        assertThat(executedOrders).as("orders checked").isGreaterThan(10 * SITES);
        assertThat(terms).as("terms checked").isGreaterThan(2 * SITES);
    }

    private record ScheduledCall(long atMillis, Runnable call) {}

    private static final class RandomSite {
        private final Random random;
        private final MemoryStore store = new MemoryStore();
        private final List<StageLease> leases = new ArrayList<>();
        private final List<ScheduledCall> scheduled = new ArrayList<>();
        private final List<MemoryStore.Copy> copies = new ArrayList<>();
        private final Map<Long, String> holderOfEpoch = new HashMap<>();
        private final List<String> findings = new ArrayList<>();
        private final long[] nextMaintenanceMillis = new long[3];
        private long highestEpoch;
        private long millis = 1_000;
        private int executedOrders;

        RandomSite(long seed) {
            random = new Random(seed);
            for (int i = 0; i < 3; i++) {
                leases.add(lease("e" + i));
            }
        }

        private StageLease lease(String name) {
            Timers timers = new Timers(
                    new EmbeddedChannel().eventLoop(), () -> TimeUnit.MILLISECONDS.toNanos(millis), () -> millis);
            return new StageLease(timers, new SlowStore(this), "s", name, false);
        }

        private void step() {
            millis += random.nextInt(MAX_STEP_MILLIS);
            runDueCalls();
            for (int i = 0; i < leases.size(); i++) {
                maintain(i);
            }
            if (random.nextInt(20) == 0) {
                copies.add(store.copy());
            }
            if (random.nextInt(250) == 0 && !copies.isEmpty()) {
                // The store may be restored from the same copy twice.
                store.restore(copies.get(copies.size() - 1 - random.nextInt(Math.min(2, copies.size()))));
            }
            if (random.nextInt(250) == 0) {
                int index = random.nextInt(leases.size());
                leases.set(index, lease("e" + index));
            }
            if (random.nextInt(3) == 0) {
                store.put("others", "other-" + random.nextInt(5), JsonNodeFactory.instance.objectNode());
            }
        }

        /** Maintains an entry's lease if it is time; now and then the entry then pauses for up to 30 s longer than usual. */
        private void maintain(int index) {
            if (millis < nextMaintenanceMillis[index]) {
                return;
            }
            boolean paused = random.nextInt(40) == 0;
            nextMaintenanceMillis[index] =
                    millis + StageLease.RENEW_INTERVAL_MILLIS + (paused ? random.nextInt(30_000) : 0);
            StageLease lease = leases.get(index);
            if (lease.held() && random.nextBoolean()) {
                lease.renew(() -> send(index, lease));
            } else {
                lease.maintain();
            }
        }

        private void send(int index, StageLease lease) {
            if (lease.mayOrder()) {
                long epoch = lease.epoch();
                after(random.nextInt(MAX_ORDER_DELAY_MILLIS), () -> executeOrder("e" + index, epoch));
            }
        }

        private void executeOrder(String holder, long epoch) {
            executedOrders++;
            if (epoch < highestEpoch) {
                findings.add("epoch " + epoch + " of " + holder + " after " + highestEpoch);
            }
            highestEpoch = Math.max(highestEpoch, epoch);
            String before = holderOfEpoch.putIfAbsent(epoch, holder);
            if (before != null && !before.equals(holder)) {
                findings.add("epoch " + epoch + " of " + before + " and of " + holder);
            }
        }

        private void after(long delayMillis, Runnable what) {
            scheduled.add(new ScheduledCall(millis + delayMillis, what));
        }

        private void runDueCalls() {
            List<ScheduledCall> now =
                    scheduled.stream().filter(item -> item.atMillis() <= millis).toList();
            scheduled.removeAll(now);
            now.forEach(item -> item.call().run());
        }
    }

    /** A store that calls reach, and whose answers arrive, after a random delay; an answer may be lost. */
    private static final class SlowStore implements ObjectStore {
        private final RandomSite site;
        private StorePosition lastPosition = StorePosition.NONE;

        SlowStore(RandomSite site) {
            this.site = site;
        }

        private void delayCall(Runnable call) {
            site.after(site.random.nextInt(MAX_ANSWER_DELAY_MILLIS), call);
        }

        private <T> Consumer<T> delayed(Consumer<T> done, Consumer<StoreFailure> failed) {
            boolean lost = site.random.nextInt(10) == 0;
            return value -> site.after(site.random.nextInt(MAX_ANSWER_DELAY_MILLIS), () -> {
                lastPosition = site.store.position();
                if (lost) {
                    failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "no answer in time"));
                } else {
                    done.accept(value);
                }
            });
        }

        private Consumer<StoreFailure> delayed(Consumer<StoreFailure> failed) {
            return delayed(failed, failed);
        }

        @Override
        public void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
            delayCall(() -> site.store.read(kind, name, delayed(done, failed), delayed(failed)));
        }

        @Override
        public void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
            read(kind, name, done, failed);
        }

        @Override
        public void create(
                String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
            delayCall(() -> site.store.create(kind, name, spec, delayed(done, failed), delayed(failed)));
        }

        /** Compares revisions only, in the era that the store has when the call reaches it. */
        @Override
        public void replace(
                String kind,
                String name,
                StorePosition expected,
                JsonNode spec,
                Consumer<StoredObject> done,
                Consumer<StoreFailure> failed) {
            delayCall(() -> site.store.replace(
                    kind,
                    name,
                    new StorePosition(site.store.era(), expected.revision()),
                    spec,
                    delayed(done, failed),
                    delayed(failed)));
        }

        @Override
        public void retireConnections() {}

        @Override
        public StorePosition position() {
            return lastPosition;
        }

        @Override
        public void list(
                String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void listRecent(
                String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void watch(
                String kind,
                StorePosition from,
                long waitMillis,
                Consumer<ObjectChanges> done,
                Consumer<StoreFailure> failed) {
            throw new UnsupportedOperationException();
        }
    }
}
