package org.quetzalseam.gateway.stream;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.core.stream.BuildHistory;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.KindFreshness;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Keeps in the platform's store which builds have served, so that a process that has just started knows it too: one object for the
 * site, which any entry extends when it lists a new build, and from which any entry removes what has not served for as long as a stream
 * may be taken up. Used on the event loop only.
 */
public final class SharedBuilds {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind and name of the store's object. */
    private static final String KIND = "quetzalseam-builds";

    private static final String NAME = "served";
    /** Delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 500;
    /** Interval of the checks for builds that no longer count, in milliseconds. */
    private static final long CHECK_MILLIS = 10_000;
    /** Delay between entries that would note a new build, in milliseconds: the first of them usually has by then. */
    private static final long RANK_DELAY_MILLIS = 20;

    private static final long MAX_DELAY_MILLIS = 2_000;
    /** Rank assumed before the entries have been counted is drawn below this. */
    private static final int UNKNOWN_RANKS = 10;

    private final Timers timers;
    private final BuildHistory history;
    private final LongSupplier windowNanos;
    private @Nullable ObjectStore store;
    private @Nullable KindFreshness endpoints;
    private BuildsObject noted = BuildsObject.NONE;
    private @Nullable StorePosition notedAt;
    private boolean siteIsNew;
    private boolean loaded;
    private boolean busy;
    private long lists;
    private int rank = -1;

    /** Creates a record without a store; {@code windowNanos} states for how long a stream may be taken up. */
    public SharedBuilds(Timers timers, BuildHistory history, LongSupplier windowNanos) {
        this.timers = timers;
        this.history = history;
        this.windowNanos = windowNanos;
    }

    /**
     * Begins to use the store.
     *
     * @param firstStart whether the site starts for the first time; believed only if the store has no record yet
     */
    public void start(ObjectStore objectStore, boolean firstStart) {
        store = objectStore;
        siteIsNew = firstStart;
        timers.every(CHECK_MILLIS, this::check);
    }

    /** Sets the source that states how current the known endpoints are. */
    public void knowledge(KindFreshness knownEndpoints) {
        endpoints = knownEndpoints;
    }

    /** Sets this entry's rank among the entries. */
    public void rank(int newRank) {
        rank = newRank;
    }

    /** Called when the endpoints were listed anew: what served before must be learnt from the store, after the list. */
    public void listed() {
        lists++;
        loaded = false;
        ObjectStore used = store;
        if (used != null) {
            load(used, lists);
        }
    }

    private void load(ObjectStore used, long list) {
        used.read(
                KIND,
                NAME,
                object -> {
                    if (list == lists) {
                        learn(object);
                        loaded(object.position().era());
                    }
                },
                failure -> loadFailed(used, list, failure));
    }

    private void loadFailed(ObjectStore used, long list, StoreFailure failure) {
        if (list != lists) {
            return;
        }
        if (failure.kind() == StoreFailure.Kind.NOT_FOUND) {
            noted = new BuildsObject(Map.of(), siteIsNew, used.position().era());
            notedAt = null;
            loaded(used.position().era());
            return;
        }
        timers.after(RETRY_MILLIS, () -> {
            if (list == lists) {
                load(used, list);
            }
        });
    }

    private void learn(StoredObject object) {
        notedAt = object.position();
        try {
            BuildsObject read = BuildsObject.of(object.spec());
            // Others may have listed a build that this process has not, and must not have it removed by it.
            history.recordServed(read.without(noted), timers.now());
            noted = read;
        } catch (UnreadableException e) {
            noted = BuildsObject.NONE;
            logger.atWarning().log(
                    "event=object-unreadable kind=%s name=%s detail=\"%s\"", KIND, NAME, e.description());
        }
    }

    private void loaded(long era) {
        loaded = true;
        siteIsNew = false;
        boolean proved = noted.proves(era);
        if (proved) {
            history.recordServedBefore(noted.builds(), timers.now());
        }
        logger.atInfo().log("event=builds-known builds=\"%s\" complete=%s era=%d", noted.builds(), proved, era);
        check();
    }

    /** Has the store's record extended or shortened if it differs from what is known here. */
    public void check() {
        ObjectStore used = store;
        if (used == null || !loaded || busy || wanted(used).equals(noted)) {
            return;
        }
        busy = true;
        timers.after(delayMillis(), () -> orLater(() -> readAndWrite(used)));
    }

    private long delayMillis() {
        int place = rank < 0 ? ThreadLocalRandom.current().nextInt(UNKNOWN_RANKS) : rank;
        return Math.min(place * RANK_DELAY_MILLIS, MAX_DELAY_MILLIS);
    }

    /** Returns what the record should be. */
    private BuildsObject wanted(ObjectStore used) {
        long now = timers.now();
        long window = windowNanos.getAsLong();
        long era = used.position().era();
        Map<String, Set<String>> present = history.present();
        if (history.complete(window, now)) {
            return new BuildsObject(history.served(window, now), true, era);
        }
        return new BuildsObject(noted.with(present), noted.proves(era), era);
    }

    private void readAndWrite(ObjectStore used) {
        used.read(
                KIND,
                NAME,
                object -> {
                    learn(object);
                    writeAfter(used, timers.elapsed());
                },
                failure -> {
                    if (failure.kind() == StoreFailure.Kind.NOT_FOUND) {
                        notedAt = null;
                        write(used, wanted(used));
                    } else {
                        later();
                    }
                });
    }

    /**
     * Writes the record, without what has left only if a list of the endpoints is proved to be as recent as the record that was read:
     * a build may have come back while this process stood still, and the others do not write one again that is in the record.
     */
    private void writeAfter(ObjectStore used, long readAt) {
        KindFreshness known = endpoints;
        if (noted.within(wanted(used))) {
            write(used, wanted(used));
        } else if (known == null) {
            writeAll(used);
        } else {
            known.refreshSince(
                    () -> TimeUnit.NANOSECONDS.toMillis(timers.elapsed() - readAt),
                    proved -> orLater(() -> {
                        if (proved) {
                            write(used, wanted(used));
                        } else {
                            writeAll(used);
                        }
                    }));
        }
    }

    private void writeAll(ObjectStore used) {
        BuildsObject wanted = wanted(used);
        write(used, new BuildsObject(noted.with(wanted.builds()), wanted.complete(), wanted.era()));
    }

    private void write(ObjectStore used, BuildsObject wanted) {
        StorePosition position = notedAt;
        if (position != null && wanted.equals(noted)) {
            busy = false;
            return;
        }
        if (position == null) {
            used.create(KIND, NAME, wanted.toJson(), object -> written(object, wanted), failure -> later());
        } else {
            used.replace(KIND, NAME, position, wanted.toJson(), object -> written(object, wanted), failure -> later());
        }
    }

    private void written(StoredObject object, BuildsObject wanted) {
        busy = false;
        notedAt = object.position();
        noted = wanted;
        logger.atInfo().log(
                "event=builds-noted builds=\"%s\" complete=%s era=%d",
                wanted.builds(), wanted.complete(), wanted.era());
        check();
    }

    /** Makes a step of an update, or repeats the update later if the step fails: the mark that one is in progress would stay. */
    private void orLater(Runnable step) {
        try {
            step.run();
        } catch (Throwable e) {
            ThrownErrors.record("builds", e);
            later();
        }
    }

    private void later() {
        timers.after(RETRY_MILLIS, () -> {
            busy = false;
            check();
        });
    }
}
