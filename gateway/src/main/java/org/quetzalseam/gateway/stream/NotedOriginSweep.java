package org.quetzalseam.gateway.stream;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.core.stream.NotedOrigin;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Empties the notes of entries once the streams in them have expired, also those of entries that are gone. Some entries drawn at random
 * do so after the streams of several builds have ended. Used on the event loop only.
 */
final class NotedOriginSweep {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Number of entries that sweep in the mean: at 4 or fewer all of them; at more, none does in 2 of 100 cases. */
    private static final int SWEEPERS = 4;
    /** Delay after the last batch, in milliseconds, by which its notes have expired: they are kept for 61 s at most. */
    private static final long DELAY_MILLIS = 70_000;
    /** The delay is longer by up to this, in milliseconds, so that a later sweep finds what an earlier one has emptied. */
    private static final long SPREAD_MILLIS = 30_000;
    /** Delay between two writes, in milliseconds. */
    private static final long WRITE_DELAY_MILLIS = 50;

    private final Timers timers;
    private final ObjectStore store;
    private final Deque<StoredObject> expired = new ArrayDeque<>();
    private int emptied;

    NotedOriginSweep(Timers timers, ObjectStore store) {
        this.timers = timers;
        this.store = store;
    }

    /** Has this entry sweep later, if it is drawn. */
    static void schedule(Timers timers, ObjectStore store, int entries) {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        if (entries > 0 && random.nextInt(entries) < SWEEPERS) {
            timers.after(
                    DELAY_MILLIS + random.nextLong(SPREAD_MILLIS), () -> new NotedOriginSweep(timers, store).start());
        }
    }

    void start() {
        read(null);
    }

    private void read(@Nullable String after) {
        store.list(
                NotedOrigins.KIND,
                after,
                page -> {
                    page.objects().stream().filter(this::allExpired).forEach(expired::add);
                    String last = page.lastName().orElse(null);
                    if (page.more() && last != null && !last.equals(after)) {
                        read(last);
                    } else {
                        emptyNext();
                    }
                },
                failure -> emptyNext());
    }

    private boolean allExpired(StoredObject object) {
        try {
            List<NotedOrigin> notes = OriginsObject.of(object.spec());
            long wallMillis = timers.wallMillis();
            return !notes.isEmpty() && notes.stream().allMatch(note -> note.expired(wallMillis));
        } catch (UnreadableException e) {
            return false;
        }
    }

    /** A write that fails is left to the next sweep: the object may have been written by its entry in the meantime. */
    private void emptyNext() {
        StoredObject object = expired.poll();
        if (object == null) {
            logger.atInfo().log("event=origins-swept objects=%d", emptied);
            return;
        }
        Runnable next = () -> timers.after(WRITE_DELAY_MILLIS, this::emptyNext);
        store.replace(
                NotedOrigins.KIND,
                object.name(),
                object.position(),
                OriginsObject.toJson(List.of()),
                replaced -> {
                    emptied++;
                    next.run();
                },
                failure -> next.run());
    }
}
