package org.quetzalseam.gateway.stream;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.core.stream.BuildHistory;
import org.quetzalseam.core.stream.NotedOrigin;
import org.quetzalseam.core.stream.OriginNotes;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Notes in the platform's store where this entry's streams began, while several builds of a service serve, so that the streams can go
 * on after all entries were killed at once: one object an entry, which that entry writes and from which others only remove what has
 * expired. Used on the event loop only.
 */
public final class NotedOrigins {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Kind of the store objects that hold the notes. */
    static final String KIND = "quetzalseam-origins";
    /** Interval of the checks whether a batch is due, in milliseconds; small against the period of the batches. */
    private static final long CHECK_MILLIS = 100;

    private final Timers timers;
    private final BuildHistory history;
    private final LongSupplier windowNanos;
    private final String self;
    private final OriginNotes notes =
            new OriginNotes(ThreadLocalRandom.current().nextDouble());
    private final NotedOriginSearch search;
    private @Nullable ObjectStore store;
    private @Nullable StorePosition ownPosition;
    private boolean ownKnown;
    private boolean busy;
    private boolean severalBuilds;
    private long era;
    private int entries;

    /**
     * Creates notes without a store.
     *
     * @param windowNanos states for how long a stream may be taken up, in nanoseconds
     * @param self this entry's name
     */
    public NotedOrigins(Timers timers, BuildHistory history, LongSupplier windowNanos, String self) {
        this.timers = timers;
        this.history = history;
        this.windowNanos = windowNanos;
        this.self = self;
        this.search = new NotedOriginSearch(timers);
    }

    /** Begins to use the store. */
    public void start(ObjectStore objectStore) {
        store = objectStore;
        search.start(objectStore);
        timers.every(CHECK_MILLIS, this::check);
    }

    /** Sets the number of entries of the site. */
    public void entries(int counted) {
        entries = counted;
        search.entries(counted);
    }

    /** Records where an attempt began a stream, which is written with the next batch. */
    void record(String attempt, StreamOrigin origin, long keepMillis) {
        long wallMillis = timers.wallMillis();
        notes.record(attempt, origin, wallMillis + keepMillis, wallMillis);
    }

    /** Finds in the notes of all entries where an attempt began a stream. */
    public void find(String attempt, Consumer<OriginFinding> found) {
        search.find(attempt, found);
    }

    private void check() {
        ObjectStore used = store;
        if (used == null || busy) {
            return;
        }
        long now = timers.now();
        if (used.position().era() != era) {
            // The store came back from a copy, which may lack batches.
            era = used.position().era();
            ownKnown = false;
            notes.missing(entries, now);
        }
        boolean several =
                history.served(windowNanos.getAsLong(), now).values().stream().anyMatch(builds -> builds.size() > 1);
        if (severalBuilds && !several) {
            NotedOriginSweep.schedule(timers, used, entries);
        }
        severalBuilds = several;
        if (notes.due(several, entries, now)) {
            busy = true;
            begin(used);
        }
    }

    private void begin(ObjectStore used) {
        try {
            if (ownKnown) {
                write(used);
            } else {
                readAndWrite(used);
            }
        } catch (Throwable e) {
            ThrownErrors.record("origins", e);
            failed(new StoreFailure(StoreFailure.Kind.UNKNOWN, "the batch could not be written: " + e));
        }
    }

    /** Reads this entry's object before it is replaced: an earlier process of this entry may have written it. */
    private void readAndWrite(ObjectStore used) {
        used.read(
                KIND,
                self,
                object -> {
                    ownPosition = object.position();
                    inherit(object);
                    write(used);
                },
                failure -> {
                    if (failure.kind() == StoreFailure.Kind.NOT_FOUND) {
                        ownPosition = null;
                        write(used);
                    } else {
                        failed(failure);
                    }
                });
    }

    private void inherit(StoredObject object) {
        try {
            notes.inherit(OriginsObject.of(object.spec()), timers.wallMillis());
        } catch (UnreadableException e) {
            logger.atWarning().log(
                    "event=object-unreadable kind=%s name=%s detail=\"%s\"", KIND, self, e.description());
        }
    }

    private void write(ObjectStore used) {
        ownKnown = true;
        List<NotedOrigin> batch = notes.batch(entries, timers.now(), timers.wallMillis());
        Consumer<StoredObject> done = object -> {
            ownPosition = object.position();
            busy = false;
        };
        StorePosition position = ownPosition;
        if (position == null) {
            used.create(KIND, self, OriginsObject.toJson(batch), done, this::failed);
        } else {
            used.replace(KIND, self, position, OriginsObject.toJson(batch), done, this::failed);
        }
    }

    /** The object may be another one than this entry knows: it was swept, restored, or written without an answer. */
    private void failed(StoreFailure failure) {
        logger.atInfo().log("event=origins-not-noted kind=%s detail=\"%s\"", failure.kind(), failure.detail());
        ownKnown = false;
        busy = false;
        notes.missing(entries, timers.now());
    }
}
