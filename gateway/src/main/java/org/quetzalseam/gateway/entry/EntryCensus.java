package org.quetzalseam.gateway.entry;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.google.common.flogger.FluentLogger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectPage;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;

/**
 * Counts the entries that share a site's budgets: each leaves its name in the platform's store. Used on the event loop only.
 *
 * <p>Names of entries that were killed stay, so the count may be too high but not too low for long; a share of a budget that is
 * worked out from it is then too small, never too large.
 */
public final class EntryCensus {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the entries' names in the store. */
    private static final String KIND = "quetzalseam-entries";
    /** How often names are counted at a small site, in milliseconds: entries come and go within minutes, and a call has its price. */
    private static final long COUNT_MILLIS = 5_000;
    /**
     * Entries for each of which so much time passes between two counts: a name takes some 150 bytes of an answer, so that
     * counting takes 0.6 KB a second at most, however many there are.
     */
    private static final int ENTRIES_A_COUNT = 20;

    private final Timers timers;
    private final ObjectStore store;
    private final String self;
    private final Consumer<EntryCount> counted;
    private boolean registered;
    private @Nullable EntryCount known;
    private int turnsLeft;

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
        store.create(KIND, self, JsonNodeFactory.instance.objectNode(), object -> registeredAs(), this::registerFailed);
    }

    private void registerFailed(StoreFailure failure) {
        if (failure.kind() == StoreFailure.Kind.CONFLICT) {
            registeredAs();
        } else {
            logger.atInfo().log("event=census-failed kind=%s detail=\"%s\"", failure.kind(), failure.detail());
        }
    }

    private void registeredAs() {
        registered = true;
        count();
    }

    private void count() {
        store.listRecent(
                KIND,
                this::page,
                failure -> logger.atInfo().log(
                        "event=census-failed kind=%s detail=\"%s\"", failure.kind(), failure.detail()));
    }

    private void page(ObjectPage page) {
        int entries = page.objects().size();
        int before = (int) page.objects().stream()
                .filter(object -> object.name().compareTo(self) < 0)
                .count();
        EntryCount count = new EntryCount(entries, Math.min(before, entries - 1));
        if (entries == 0 || count.equals(known)) {
            return;
        }
        known = count;
        logger.atInfo().log("event=entries-counted entries=%d rank=%d", entries, count.rank());
        counted.accept(count);
    }
}
