package org.quetzalseam.gateway.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.PagedList;
import org.quetzalseam.gateway.store.PagedList.WholeList;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Registers this entry's name in the platform's store and counts the entries that share the site's budgets. Used on the event
 * loop only.
 *
 * <p>The names of killed entries stay in the store, so the count may be too high, but is not too low for long: a budget
 * share that is computed from it is then too small, never too large. A newly registered entry waits before its first count,
 * so that entries that start at the same time are registered as well, and does not count from a stale list. A name that is
 * missing from the store is registered again. After the store was restored from an older copy, the other entries get time
 * to register again before the count may fall.
 */
public final class EntryRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the store objects that hold the names of entries. */
    private static final String KIND = "quetzalseam-entries";
    /**
     * Interval between two counts at a small site, in milliseconds: entries come and go within minutes, and each call to
     * the store has a cost.
     */
    private static final long COUNT_INTERVAL_MILLIS = 5_000;
    /**
     * Delay between the registration of a new name and the first count, in milliseconds: processes that start together
     * differ by less.
     */
    private static final long FIRST_COUNT_DELAY_MILLIS = 1_000;
    /** Delay before the first list is requested again, in milliseconds: without it, this entry can ask no other one. */
    private static final long FIRST_LIST_RETRY_MILLIS = 500;
    /**
     * Number of entries for which the time between two counts grows by one interval: a name takes some 150 bytes of a list, so
     * counting reads at most 0.6 KB a second, however many entries there are.
     */
    private static final int ENTRIES_PER_EXTRA_INTERVAL = 20;
    /**
     * Time after a restore of the store from an older copy during which the count may not fall, in nanoseconds: each entry
     * notices the restore within one interval and registers its name in the next one at the latest.
     */
    private static final long RESTORE_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * COUNT_INTERVAL_MILLIS);

    private final Timers timers;
    private final ObjectStore store;
    private final String self;
    private final JsonNode registration;
    private final EntryListener listener;
    private boolean registered;
    private boolean listed;
    private boolean retryPending;
    private @Nullable EntryCount lastCount;
    private int ticksUntilCount;
    private long era;
    private boolean storeWasRestored;
    private long restoredAtNanos;

    /**
     * Creates a registry that does not count before {@link #start}.
     *
     * @param timers the event loop's timers
     * @param store the platform's store
     * @param self this entry's name
     * @param listener receives the number of entries and the rank of this one whenever either changes
     */
    public EntryRegistry(Timers timers, ObjectStore store, String self, EntryListener listener) {
        this(timers, store, self, null, 0, listener);
    }

    /**
     * Creates a registry that does not count before {@link #start}.
     *
     * @param timers the event loop's timers
     * @param store the platform's store
     * @param self this entry's name
     * @param peerAddress address at which this entry answers the others, or null if it does not
     * @param processor number of processor cores of this entry's machine, or 0 if it is not stated
     * @param listener receives what is learnt of the entries
     */
    public EntryRegistry(
            Timers timers,
            ObjectStore store,
            String self,
            @Nullable InetSocketAddress peerAddress,
            double processor,
            EntryListener listener) {
        this.timers = timers;
        this.store = store;
        this.self = self;
        this.registration = PeerAddresses.toJson(peerAddress, processor);
        this.listener = listener;
    }

    /** Registers this entry's name and starts to count. */
    public void start() {
        tick();
        timers.every(COUNT_INTERVAL_MILLIS, this::tick);
    }

    private void tick() {
        updateEra(store.position().era());
        if (!registered) {
            register();
        } else if (ticksUntilCount > 0) {
            ticksUntilCount--;
        } else {
            EntryCount last = lastCount;
            ticksUntilCount = last == null ? 0 : last.entries() / ENTRIES_PER_EXTRA_INTERVAL;
            countFromRecentList();
        }
    }

    private void register() {
        store.create(
                KIND,
                self,
                registration,
                object -> {
                    markRegistered();
                    listener.added();
                    timers.after(FIRST_COUNT_DELAY_MILLIS, this::countFromNewestList);
                },
                this::registerFailed);
    }

    private void registerFailed(StoreFailure failure) {
        if (failure.kind() == StoreFailure.Kind.CONFLICT) {
            markRegistered();
            countFromRecentList();
        } else {
            retryFirstList(failure, this::register);
        }
    }

    private void markRegistered() {
        registered = true;
        era = store.position().era();
    }

    private void countFromNewestList() {
        long askedAt = timers.elapsed();
        PagedList.read(
                (after, done, failed) -> store.list(KIND, after, done, failed),
                list -> handleList(list, askedAt),
                failure -> retryFirstList(failure, this::countFromNewestList));
    }

    private void countFromRecentList() {
        long askedAt = timers.elapsed();
        PagedList.read(
                (after, done, failed) -> store.listRecent(KIND, after, done, failed),
                list -> handleList(list, askedAt),
                failure -> retryFirstList(failure, this::countFromRecentList));
    }

    private void retryFirstList(StoreFailure failure, Runnable call) {
        countFailed(failure);
        if (!listed && !retryPending) {
            retryPending = true;
            timers.after(FIRST_LIST_RETRY_MILLIS, () -> {
                retryPending = false;
                call.run();
            });
        }
    }

    private static void countFailed(StoreFailure failure) {
        logger.atInfo().log("event=census-failed kind=%s detail=\"%s\"", failure.kind(), failure.detail());
    }

    private void updateEra(long currentEra) {
        if (registered && currentEra != era) {
            logger.atInfo().log("event=census-restored era_before=%d era=%d", era, currentEra);
            registered = false;
            storeWasRestored = true;
            restoredAtNanos = timers.now();
        }
        era = currentEra;
    }

    private void handleList(WholeList list, long askedAt) {
        listed = true;
        updateEra(list.first().era());
        Set<String> names = list.objects().stream().map(StoredObject::name).collect(Collectors.toSet());
        if (names.add(self)) {
            // The name was removed, or the list is stale. This entry is running, and registering it again does no harm.
            registered = false;
        }
        int rank = (int) names.stream().filter(name -> name.compareTo(self) < 0).count();
        EntryCount count = new EntryCount(names.size(), rank);
        updateRegistration(list.objects());
        int listed = mayBeTooLow(count) && lastCount != null ? lastCount.entries() : count.entries();
        listener.listed(new EntryList(
                listed,
                PeerAddresses.ofOthers(list.objects(), self),
                PeerAddresses.processorsOfOthers(list.objects(), self),
                intervalMillis(listed),
                askedAt));
        if (count.equals(lastCount) || mayBeTooLow(count)) {
            return;
        }
        lastCount = count;
        logger.atInfo().log("event=entries-counted entries=%d rank=%d", count.entries(), count.rank());
        listener.counted(count);
    }

    private static long intervalMillis(int entries) {
        return COUNT_INTERVAL_MILLIS * (1 + entries / ENTRIES_PER_EXTRA_INTERVAL);
    }

    /** Replaces the registration of an earlier process of this entry that listened at another address. */
    private void updateRegistration(List<StoredObject> objects) {
        objects.stream()
                .filter(object -> object.name().equals(self) && !object.spec().equals(registration))
                .findFirst()
                .ifPresent(object -> store.replace(
                        KIND, self, object.position(), registration, replaced -> {}, EntryRegistry::countFailed));
    }

    private boolean mayBeTooLow(EntryCount newCount) {
        EntryCount last = lastCount;
        return last != null
                && newCount.entries() < last.entries()
                && storeWasRestored
                && timers.now() - restoredAtNanos < RESTORE_HOLD_NANOS;
    }
}
