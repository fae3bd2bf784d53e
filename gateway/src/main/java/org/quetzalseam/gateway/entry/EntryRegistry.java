package org.quetzalseam.gateway.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.flogger.FluentLogger;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectPage;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Counts the entries that share a site's budgets: each leaves its name in the platform's store. Used on the event loop only.
 *
 * <p>Names of entries that were killed stay, so the count may be too high but not too low for long; a share of a budget that is
 * worked out from it is then too small, never too large. An entry whose name is new makes its first count when those who start with
 * it have left theirs too, and not from an old answer. A name that has gone from the store is left again, and where the store
 * has come back from an older copy the others are given time to do so too before they are taken for gone.
 */
public final class EntryRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the entries' names in the store. */
    private static final String KIND = "quetzalseam-entries";
    /** How often names are counted at a small site, in milliseconds: entries come and go within minutes, and a call has its price. */
    private static final long COUNT_INTERVAL_MILLIS = 5_000;
    /** How long after its new name was left an entry counts first, in milliseconds: processes that start together differ by less. */
    private static final long FIRST_COUNT_DELAY_MILLIS = 1_000;
    /**
     * Entries for each of which so much time passes between two counts: a name takes some 150 bytes of an answer, so that
     * counting takes 0.6 KB a second at most, however many there are.
     */
    private static final int ENTRIES_PER_EXTRA_INTERVAL = 20;
    /**
     * How long after the store has come back from an older copy the count doesn't fall, in nanoseconds: each entry hears of it
     * within one turn and leaves its name in the next at the latest.
     */
    private static final long RESTORE_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * COUNT_INTERVAL_MILLIS);

    private final Timers timers;
    private final ObjectStore store;
    private final String self;
    private final Consumer<EntryCount> listener;
    private boolean registered;
    private @Nullable EntryCount lastCount;
    private int ticksUntilCount;
    private long era;
    private boolean storeWasRestored;
    private long restoredAtNanos;

    /**
     * Creates a census.
     *
     * @param timers the event loop's timers
     * @param store the platform's store
     * @param self this entry's name
     * @param listener takes the number of entries and this one's rank, whenever either has changed
     */
    public EntryRegistry(Timers timers, ObjectStore store, String self, Consumer<EntryCount> listener) {
        this.timers = timers;
        this.store = store;
        this.self = self;
        this.listener = listener;
    }

    /** Leaves this entry's name and begins to count. */
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
                JsonNodeFactory.instance.objectNode(),
                object -> {
                    markRegistered();
                    timers.after(FIRST_COUNT_DELAY_MILLIS, this::countFromNewestList);
                },
                this::registerFailed);
    }

    private void registerFailed(StoreFailure failure) {
        if (failure.kind() == StoreFailure.Kind.CONFLICT) {
            markRegistered();
            countFromRecentList();
        } else {
            countFailed(failure);
        }
    }

    private void markRegistered() {
        registered = true;
        era = store.position().era();
    }

    private void countFromNewestList() {
        store.list(KIND, null, this::handlePage, EntryRegistry::countFailed);
    }

    private void countFromRecentList() {
        store.listRecent(KIND, this::handlePage, EntryRegistry::countFailed);
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

    private void handlePage(ObjectPage page) {
        updateEra(page.position().era());
        Set<String> names = page.objects().stream().map(StoredObject::name).collect(Collectors.toSet());
        if (names.add(self)) {
            // Whoever removed it, this entry lives; an old answer may also lack it, and leaving it again does no harm.
            registered = false;
        }
        int rank = (int) names.stream().filter(name -> name.compareTo(self) < 0).count();
        EntryCount count = new EntryCount(names.size(), rank);
        if (count.equals(lastCount) || mayBeTooLow(count)) {
            return;
        }
        lastCount = count;
        logger.atInfo().log("event=entries-counted entries=%d rank=%d", count.entries(), count.rank());
        listener.accept(count);
    }

    private boolean mayBeTooLow(EntryCount newCount) {
        EntryCount last = lastCount;
        return last != null
                && newCount.entries() < last.entries()
                && storeWasRestored
                && timers.now() - restoredAtNanos < RESTORE_HOLD_NANOS;
    }
}
