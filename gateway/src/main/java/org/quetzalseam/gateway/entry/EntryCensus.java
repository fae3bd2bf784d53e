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
public final class EntryCensus {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the entries' names in the store. */
    private static final String KIND = "quetzalseam-entries";
    /** How often names are counted at a small site, in milliseconds: entries come and go within minutes, and a call has its price. */
    private static final long COUNT_MILLIS = 5_000;
    /** How long after its new name was left an entry counts first, in milliseconds: processes that start together differ by less. */
    private static final long TOGETHER_MILLIS = 1_000;
    /**
     * Entries for each of which so much time passes between two counts: a name takes some 150 bytes of an answer, so that
     * counting takes 0.6 KB a second at most, however many there are.
     */
    private static final int ENTRIES_A_COUNT = 20;
    /**
     * How long after the store has come back from an older copy the count doesn't fall, in nanoseconds: each entry hears of it
     * within one turn and leaves its name in the next at the latest.
     */
    private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2 * COUNT_MILLIS);

    private final Timers timers;
    private final ObjectStore store;
    private final String self;
    private final Consumer<EntryCount> counted;
    private boolean registered;
    private @Nullable EntryCount known;
    private int turnsLeft;
    private long era;
    private boolean everRestored;
    private long restoredAt;

    /**
     * Creates a census.
     *
     * @param timers the event loop's timers
     * @param store the platform's store
     * @param self this entry's name
     * @param counted takes the number of entries and this one's rank, whenever either has changed
     */
    public EntryCensus(Timers timers, ObjectStore store, String self, Consumer<EntryCount> counted) {
        this.timers = timers;
        this.store = store;
        this.self = self;
        this.counted = counted;
    }

    /** Leaves this entry's name and begins to count. */
    public void start() {
        turn();
        timers.every(COUNT_MILLIS, this::turn);
    }

    private void turn() {
        noteEra(store.position().era());
        if (!registered) {
            register();
        } else if (turnsLeft > 0) {
            turnsLeft--;
        } else {
            EntryCount last = known;
            turnsLeft = last == null ? 0 : last.entries() / ENTRIES_A_COUNT;
            count();
        }
    }

    private void register() {
        store.create(
                KIND,
                self,
                JsonNodeFactory.instance.objectNode(),
                object -> {
                    noteRegistered();
                    timers.after(TOGETHER_MILLIS, this::countNewest);
                },
                this::registerFailed);
    }

    private void registerFailed(StoreFailure failure) {
        if (failure.kind() == StoreFailure.Kind.CONFLICT) {
            noteRegistered();
            count();
        } else {
            countFailed(failure);
        }
    }

    private void noteRegistered() {
        registered = true;
        era = store.position().era();
    }

    private void countNewest() {
        store.list(KIND, null, this::page, EntryCensus::countFailed);
    }

    private void count() {
        store.listRecent(KIND, this::page, EntryCensus::countFailed);
    }

    private static void countFailed(StoreFailure failure) {
        logger.atInfo().log("event=census-failed kind=%s detail=\"%s\"", failure.kind(), failure.detail());
    }

    private void noteEra(long seen) {
        if (registered && seen != era) {
            logger.atInfo().log("event=census-restored era_before=%d era=%d", era, seen);
            registered = false;
            everRestored = true;
            restoredAt = timers.now();
        }
        era = seen;
    }

    private void page(ObjectPage page) {
        noteEra(page.position().era());
        Set<String> names = page.objects().stream().map(StoredObject::name).collect(Collectors.toSet());
        if (names.add(self)) {
            // Whoever removed it, this entry lives; an old answer may also lack it, and leaving it again does no harm.
            registered = false;
        }
        int before =
                (int) names.stream().filter(name -> name.compareTo(self) < 0).count();
        EntryCount count = new EntryCount(names.size(), before);
        if (count.equals(known) || mayBeTooLow(count)) {
            return;
        }
        known = count;
        logger.atInfo().log("event=entries-counted entries=%d rank=%d", count.entries(), count.rank());
        counted.accept(count);
    }

    private boolean mayBeTooLow(EntryCount count) {
        EntryCount last = known;
        return last != null
                && count.entries() < last.entries()
                && everRestored
                && timers.now() - restoredAt < RETURN_NANOS;
    }
}
