package org.quetzalseam.gateway.store;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.PagedList.WholeList;

/**
 * Follows one kind of objects: lists it, then watches it, and lists it again when the store has dropped the history or was
 * restored from an older copy. Used on the event loop only.
 *
 * <p>A watch waits briefly, and one whose answer is late is restarted over another connection, so that an unresponsive connection
 * is noticed before a change is overdue.
 */
public final class KindWatch implements KindFreshness {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long one watch waits, in milliseconds: changes must be in force within some seconds, even if a watch gets no answer. */
    static final long WATCH_WAIT_MILLIS = 2_000;
    /**
     * Wait of a watch that is to be answered at once, in milliseconds; used while the store is unavailable, so that its recovery
     * is noticed within about a second.
     */
    static final long NO_WAIT_MILLIS = 1;
    /**
     * How long after its wait a watch's answer is late, in milliseconds: more than a slow store takes, and a small part of the time
     * in which a change must be in force.
     */
    static final long LATE_AFTER_MILLIS = 250;
    /**
     * How long further changes accumulate after a change before they are requested, in milliseconds: endpoints that start or
     * shut down together, and desired states in quick succession, then cost one call instead of one each. Small compared with the
     * time in which a change must be in force.
     */
    static final long BATCH_MILLIS = 150;
    /** First delay after a failure, in milliseconds; it doubles up to the longest. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 100;

    private static final long MAX_RETRY_DELAY_MILLIS = 300;
    /** How long after the store's recovery objects of live processes may still be missing, in nanoseconds. */
    private static final long RECOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private static final ScheduledCall NO_TIMER = () -> {};

    private final Timers timers;
    private final ObjectStore store;
    private final String kind;
    private final KindListener listener;
    private final LastResponse lastResponse;
    private final List<Runnable> refreshCallbacks = new ArrayList<>();
    /** Positions of the objects of the latest list, while changes may be received that are older than some of its pages. */
    private final Map<String, StorePosition> listedPositions = new HashMap<>();

    private long retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
    private StorePosition lastListed = StorePosition.NONE;
    private StorePosition newest = StorePosition.NONE;
    /** Number of the newest watch; answers to earlier ones are ignored. */
    private long newestWatch;

    private boolean unavailable;
    private boolean everUnavailable;
    private long recoveredAtNanos;
    /** Whether the call in flight is to be answered at once, so that a refresh needs no other one. */
    private boolean immediateAnswerExpected;

    private ScheduledCall nextCall = NO_TIMER;

    /** Creates a watch, which {@link #start} begins. */
    public KindWatch(Timers timers, ObjectStore store, String kind, KindListener listener) {
        this.timers = timers;
        this.store = store;
        this.kind = kind;
        this.listener = listener;
        this.lastResponse = new LastResponse(timers.elapsed(), RECOVERY_NANOS);
    }

    /** Begins to list and watch the kind. */
    public void start() {
        timers.soon(this::listAll);
    }

    @Override
    public long ageMillis() {
        return lastResponse.ageMillis(timers.elapsed());
    }

    @Override
    public StorePosition position() {
        return newest;
    }

    @Override
    public boolean current() {
        return lastResponse.current(timers.elapsed());
    }

    @Override
    public void refresh(Runnable answered) {
        if (unavailable || newest.equals(StorePosition.NONE) || lastResponse.recentlyRestored(timers.elapsed())) {
            answered.run();
            return;
        }
        refreshCallbacks.add(answered);
        if (!immediateAnswerExpected) {
            startWatch(NO_WAIT_MILLIS);
        }
    }

    /** Calls back all who requested a refresh, whether the store has answered or the call has failed. */
    private void completeRefreshes() {
        immediateAnswerExpected = false;
        List<Runnable> callbacks = List.copyOf(refreshCallbacks);
        refreshCallbacks.clear();
        callbacks.forEach(Runnable::run);
    }

    private void listAll() {
        immediateAnswerExpected = true;
        long sentAt = timers.elapsed();
        PagedList.read(
                (after, done, failed) -> store.list(kind, after, done, failed),
                list -> onList(list, sentAt),
                this::listFailed);
    }

    private void onList(WholeList list, long sentAt) {
        recordAvailable();
        recordEra(list.last());
        notifyListener("all", () -> listener.listed(list.objects(), recentlyRecovered()));
        lastResponse.recordResponse(sentAt);
        logger.atInfo().log(
                "event=listed kind=%s objects=%d era=%d revision=%d first_page_revision=%d",
                kind,
                list.objects().size(),
                lastListed.era(),
                lastListed.revision(),
                list.first().revision());
        // What changed on an earlier page while later ones were read is in none of them.
        newest = list.first();
        listedPositions.clear();
        if (newest.isBefore(lastListed)) {
            list.objects().forEach(object -> listedPositions.put(object.name(), object.position()));
        }
        completeRefreshes();
        watchFrom(newest);
    }

    /**
     * Records the era of a list. A store that was restored from an older copy lacks objects of live processes, as after an
     * outage.
     */
    private void recordEra(StorePosition position) {
        if (!lastListed.equals(StorePosition.NONE) && lastListed.era() != position.era()) {
            logger.atWarning().log(
                    "event=store-restored kind=%s era_before=%d revision_before=%d era=%d revision=%d",
                    kind, lastListed.era(), lastListed.revision(), position.era(), position.revision());
            everUnavailable = true;
            recoveredAtNanos = timers.now();
        }
        if (lastListed.era() != position.era()) {
            // To a new process, a store that was restored earlier may have been restored just now.
            lastResponse.recordRestore(timers.elapsed());
        }
        lastListed = position;
    }

    private void listFailed(StoreFailure failure) {
        retryAfterDelay(failure, this::listAll);
    }

    private void watchFrom(StorePosition from) {
        newest = from;
        startWatch(unavailable ? NO_WAIT_MILLIS : WATCH_WAIT_MILLIS);
    }

    private void startWatch(long waitMillis) {
        startWatch(waitMillis, !unavailable);
    }

    /** Starts a watch in place of the one in flight, if any. If it may be late, it is restarted once over another connection. */
    private void startWatch(long waitMillis, boolean mayBeLate) {
        long watch = ++newestWatch;
        long sentAt = timers.elapsed();
        immediateAnswerExpected = waitMillis == NO_WAIT_MILLIS;
        nextCall.cancel();
        StorePosition from = newest;
        ScheduledCall lateTimer =
                mayBeLate ? timers.after(waitMillis + LATE_AFTER_MILLIS, () -> restartWatch(watch)) : NO_TIMER;
        store.watch(
                kind,
                from,
                waitMillis,
                changes -> onAnswer(watch, lateTimer, () -> onChanges(from, changes, sentAt, waitMillis)),
                failure -> onAnswer(watch, lateTimer, () -> watchFailed(from, failure)));
    }

    private void onAnswer(long watch, ScheduledCall lateTimer, Runnable call) {
        lateTimer.cancel();
        if (watch == newestWatch) {
            call.run();
        }
    }

    /** Restarts a late watch over a new connection: open ones may have become unresponsive for good while new ones work. */
    private void restartWatch(long watch) {
        if (watch != newestWatch) {
            return;
        }
        logger.atInfo().log("event=watch-late kind=%s era=%d revision=%d", kind, newest.era(), newest.revision());
        store.retireConnections();
        startWatch(NO_WAIT_MILLIS, false);
    }

    private void onChanges(StorePosition from, ObjectChanges changes, long sentAt, long waitMillis) {
        if (from.era() != changes.position().era()) {
            // The requested revision has been assigned again: changes before it in this era would be missed.
            listAll();
            return;
        }
        // The store gives an answer without changes after the whole wait, but may end a watch early.
        long waitNanos = TimeUnit.MILLISECONDS.toNanos(waitMillis);
        boolean waited = changes.changes().isEmpty() && timers.elapsed() - sentAt >= waitNanos;
        recordAvailable();
        for (ObjectChanges.Change change : changes.changes()) {
            if (listedLater(change.object())) {
                continue;
            }
            if (change.deleted()) {
                notifyListener(change.object().name(), () -> listener.deleted(change.object(), recentlyRecovered()));
            } else {
                notifyListener(change.object().name(), () -> listener.changed(change.object()));
            }
        }
        lastResponse.recordResponse(waited ? sentAt + waitNanos : sentAt);
        newest = StorePosition.later(from, changes.position());
        if (!newest.isBefore(lastListed)) {
            listedPositions.clear();
        }
        completeRefreshes();
        nextCall = timers.after(changes.changes().isEmpty() ? 0 : BATCH_MILLIS, () -> watchFrom(newest));
    }

    /** Returns whether a page of the list was later than a change and has the object as it was after that. */
    private boolean listedLater(StoredObject changed) {
        StorePosition listed = listedPositions.get(changed.name());
        return listed != null && changed.position().isBefore(listed);
    }

    /** Calls the listener; an object that cannot be read is skipped, so that those after it are still processed. */
    private void notifyListener(String name, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("event=object-unreadable kind=%s name=%s", kind, name);
        }
    }

    private void watchFailed(StorePosition from, StoreFailure failure) {
        if (failure.kind() == StoreFailure.Kind.HISTORY_GONE) {
            logger.atInfo().log("event=history-gone kind=%s era=%d revision=%d", kind, from.era(), from.revision());
            listAll();
            return;
        }
        // The same changes would be unreadable again; a list shows their result.
        boolean listAgain = failure.kind() == StoreFailure.Kind.UNREADABLE;
        retryAfterDelay(failure, listAgain ? this::listAll : () -> watchFrom(from));
    }

    private void retryAfterDelay(StoreFailure failure, Runnable next) {
        if (!unavailable) {
            unavailable = true;
            everUnavailable = true;
            logger.atWarning().log(
                    "event=store-lost kind=%s failure=%s detail=\"%s\"", kind, failure.kind(), failure.detail());
        }
        completeRefreshes();
        nextCall = timers.after(retryDelayMillis, next);
        retryDelayMillis = Math.min(2 * retryDelayMillis, MAX_RETRY_DELAY_MILLIS);
    }

    private void recordAvailable() {
        retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
        if (unavailable) {
            unavailable = false;
            recoveredAtNanos = timers.now();
            logger.atInfo().log("event=store-back kind=%s", kind);
        }
    }

    private boolean recentlyRecovered() {
        return everUnavailable && timers.now() - recoveredAtNanos < RECOVERY_NANOS;
    }
}
