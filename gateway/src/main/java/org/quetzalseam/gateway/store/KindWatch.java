package org.quetzalseam.gateway.store;

import com.google.common.flogger.FluentLogger;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.PagedList.WholeList;

/**
 * Follows one kind of objects: lists it, then watches it, and lists it again when the store has dropped the history or was
 * restored from an older copy. Used on the event loop only.
 *
 * <p>A watch waits briefly, and one whose answer is late is restarted over another connection, so that an unresponsive connection
 * is noticed before a change is overdue.
 *
 * <p>The next call is secured before a listener is called. If handling an answer fails all the same, with any exception or error, or if
 * a call is never answered, the kind is listed again.
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
    /** Longest delay after an answer that could not be handled, in milliseconds: a part of the time in which a change must be in force. */
    private static final long MAX_ERROR_DELAY_MILLIS = 1_000;
    /** Interval of the checks whether calls are still made, in milliseconds. */
    static final long SILENCE_CHECK_MILLIS = 1_000;
    /** Checks in a row without a call or an answer after which the kind is listed again; they span more than any call and pause. */
    static final int MAX_SILENT_CHECKS = 4;
    /** How long after a restore of the store from an older copy objects of live processes may be missing, in nanoseconds. */
    private static final long RESTORED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private static final ScheduledCall NO_TIMER = () -> {};

    private final Timers timers;
    private final ObjectStore store;
    private final String kind;
    private final KindListener listener;
    private final LastResponse lastResponse;
    private final StoreAvailability availability;
    private final RefreshCallbacks refreshes = new RefreshCallbacks();
    private final Backoff retries = new Backoff(FIRST_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS);
    private final Backoff errors = new Backoff(FIRST_RETRY_DELAY_MILLIS, MAX_ERROR_DELAY_MILLIS);
    /** Positions of the objects of the latest list, while changes may be received that are older than some of its pages. */
    private final Map<String, StorePosition> listedPositions = new HashMap<>();

    private StorePosition lastListed = StorePosition.NONE;
    private StorePosition newest = StorePosition.NONE;
    /** Number of the newest list or watch; answers to earlier ones are ignored. */
    private long newestCall;

    private int silentChecks;
    /** Number of answers in a row that may have ended before the newest change. */
    private int cutAnswers;

    private long restarts;
    /** Whether the latest call failed, so that the next one is to be answered at once. */
    private boolean unavailable;
    /** Whether the call in flight is to be answered at once, so that a refresh needs no other one. */
    private boolean immediateAnswerExpected;

    private ScheduledCall nextCall = NO_TIMER;

    /** Creates a watch, which {@link #start} begins. */
    public KindWatch(Timers timers, ObjectStore store, String kind, KindListener listener) {
        this.timers = timers;
        this.store = store;
        this.kind = kind;
        this.listener = listener;
        this.availability = new StoreAvailability(kind);
        this.lastResponse = new LastResponse(timers.elapsed(), RESTORED_NANOS);
    }

    /** Begins to list and watch the kind. */
    public void start() {
        timers.soon(this::listAll);
        timers.every(SILENCE_CHECK_MILLIS, this::checkSilence);
    }

    /** Returns how often the kind was listed again because handling an answer failed or no call was made any more. */
    public long restarts() {
        return restarts;
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
        refreshes.add(answered);
        if (!immediateAnswerExpected) {
            startWatch(NO_WAIT_MILLIS);
        }
    }

    private void listAll() {
        long call = beginCall();
        immediateAnswerExpected = true;
        CallTimes times = new CallTimes(timers.elapsed(), timers.now(), NO_WAIT_MILLIS);
        PagedList.read(
                this::readPage,
                list -> onAnswer(call, NO_TIMER, () -> onList(list, times)),
                failure -> onAnswer(call, NO_TIMER, () -> retryAfterDelay(failure, times, this::listAll)));
    }

    private void readPage(@Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
        silentChecks = 0;
        store.list(kind, after, done, failed);
    }

    /** Returns the number of the next call; an answer to the one in flight is ignored, and the one scheduled is not made. */
    private long beginCall() {
        nextCall.cancel();
        silentChecks = 0;
        return ++newestCall;
    }

    /** Schedules the next call in place of the one scheduled, if any. */
    private void schedule(long delayMillis, Runnable next) {
        nextCall.cancel();
        nextCall = timers.after(delayMillis, () -> listAgainOnError(next));
    }

    private void listAgainOnError(Runnable call) {
        try {
            call.run();
        } catch (Throwable e) {
            ThrownErrors.record("watch", e);
            listAfterError();
        }
    }

    private void onList(WholeList list, CallTimes times) {
        cutAnswers = 0;
        recordAvailable(times);
        recordEra(list.last(), times);
        // What changed on an earlier page while later ones were read is in none of them.
        newest = list.first();
        listedPositions.clear();
        if (newest.isBefore(lastListed)) {
            list.objects().forEach(object -> listedPositions.put(object.name(), object.position()));
        }
        watchFrom(newest);
        if (notifyListener("all", () -> listener.listed(list.objects(), rewriteNanos()))) {
            lastResponse.recordResponse(times.sentAt());
        }
        logger.atInfo().log(
                "event=listed kind=%s objects=%d era=%d revision=%d first_page_revision=%d",
                kind,
                list.objects().size(),
                lastListed.era(),
                lastListed.revision(),
                list.first().revision());
        refreshes.complete();
    }

    /**
     * Records the era of a list. A store that was restored from an older copy lacks objects of live processes, as after an
     * outage.
     */
    private void recordEra(StorePosition position, CallTimes times) {
        if (!lastListed.equals(StorePosition.NONE) && lastListed.era() != position.era()) {
            logger.atWarning().log(
                    "event=store-restored kind=%s era_before=%d revision_before=%d era=%d revision=%d",
                    kind, lastListed.era(), lastListed.revision(), position.era(), position.revision());
            availability.storeRestored(times);
        }
        if (lastListed.era() != position.era()) {
            // To a new process, a store that was restored earlier may have been restored just now.
            lastResponse.recordRestore(timers.elapsed());
        }
        lastListed = position;
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
        long call = beginCall();
        CallTimes times = new CallTimes(timers.elapsed(), timers.now(), waitMillis);
        immediateAnswerExpected = waitMillis == NO_WAIT_MILLIS;
        StorePosition from = newest;
        ScheduledCall lateTimer = mayBeLate
                ? timers.after(waitMillis + LATE_AFTER_MILLIS, () -> listAgainOnError(() -> restartWatch(call)))
                : NO_TIMER;
        store.watch(
                kind,
                from,
                waitMillis,
                changes -> onAnswer(call, lateTimer, () -> onChanges(from, changes, times)),
                failure -> onAnswer(call, lateTimer, () -> watchFailed(from, failure, times)));
    }

    private void onAnswer(long call, ScheduledCall lateTimer, Runnable handling) {
        lateTimer.cancel();
        if (call != newestCall) {
            return;
        }
        silentChecks = 0;
        immediateAnswerExpected = false;
        listAgainOnError(handling);
    }

    /** Lists the kind again after an answer that was not handled whole: what it said may be in force in part only. */
    private void listAfterError() {
        restarts++;
        beginCall();
        immediateAnswerExpected = true;
        schedule(errors.next(), this::listAll);
        logger.atWarning().log("event=watch-restarted kind=%s reason=error restarts=%d", kind, restarts);
    }

    /** Lists the kind again if no call was begun or answered for some time, as after an error that nothing could handle. */
    private void checkSilence() {
        silentChecks++;
        if (silentChecks >= MAX_SILENT_CHECKS) {
            restarts++;
            logger.atWarning().log(
                    "event=watch-restarted kind=%s reason=silence restarts=%d era=%d revision=%d",
                    kind, restarts, newest.era(), newest.revision());
            listAll();
        }
    }

    /** Restarts a late watch over a new connection: open ones may have become unresponsive for good while new ones work. */
    private void restartWatch(long call) {
        if (call != newestCall) {
            return;
        }
        logger.atInfo().log("event=watch-late kind=%s era=%d revision=%d", kind, newest.era(), newest.revision());
        store.retireConnections();
        startWatch(NO_WAIT_MILLIS, false);
    }

    private void onChanges(StorePosition from, ObjectChanges changes, CallTimes times) {
        if (from.era() != changes.position().era()) {
            // The requested revision has been assigned again: changes before it in this era would be missed.
            listAll();
            return;
        }
        // The store gives an answer without changes after the whole wait, but may end a watch early.
        boolean waited = changes.changes().isEmpty() && timers.elapsed() - times.sentAt() >= times.waitNanos();
        recordAvailable(times);
        StorePosition next = StorePosition.later(from, changes.position());
        scheduleAfter(changes, next);
        boolean handled = notifyChanges(changes);
        newest = next;
        if (!newest.isBefore(lastListed)) {
            listedPositions.clear();
        }
        // An answer that may lack the newest changes proves nothing, and those who requested a refresh wait for the
        // next one.
        if (!changes.mayBeCut()) {
            if (handled) {
                lastResponse.recordResponse(waited ? times.sentAt() + times.waitNanos() : times.sentAt());
            }
            refreshes.complete();
        }
    }

    /**
     * Schedules the call after an answer. While this process is behind by more than an answer holds, the next call follows at once; a
     * list takes the place of the changes where only the newest of them matters.
     */
    private void scheduleAfter(ObjectChanges changes, StorePosition next) {
        cutAnswers = changes.mayBeCut() ? cutAnswers + 1 : 0;
        if (!changes.mayBeCut()) {
            schedule(changes.changes().isEmpty() ? 0 : BATCH_MILLIS, () -> watchFrom(next));
            return;
        }
        immediateAnswerExpected = true;
        if (cutAnswers > 1 && listener.newestSuffices()) {
            schedule(0, this::listAll);
        } else {
            schedule(0, () -> {
                newest = next;
                startWatch(NO_WAIT_MILLIS);
            });
        }
    }

    /** Returns whether the listener could handle all changes. */
    private boolean notifyChanges(ObjectChanges changes) {
        boolean handled = true;
        for (ObjectChanges.Change change : changes.changes()) {
            StoredObject object = change.object();
            if (!listedLater(object)) {
                handled &= notifyListener(
                        object.name(),
                        change.deleted()
                                ? () -> listener.deleted(object, rewriteNanos())
                                : () -> listener.changed(object));
            }
        }
        return handled;
    }

    /** Returns whether a page of the list was later than a change and has the object as it was after that. */
    private boolean listedLater(StoredObject changed) {
        StorePosition listed = listedPositions.get(changed.name());
        return listed != null && changed.position().isBefore(listed);
    }

    /**
     * Calls the listener; an object that cannot be read is skipped, so that those after it are still processed. After an error the
     * kind is listed again, because the object may be readable. Returns whether there was none.
     */
    private boolean notifyListener(String name, Runnable call) {
        try {
            call.run();
            errors.reset();
            return true;
        } catch (RuntimeException e) {
            logger.atWarning().withCause(e).log("event=object-unreadable kind=%s name=%s", kind, name);
            return true;
        } catch (Throwable e) {
            ThrownErrors.record("listener", e);
            listAfterError();
            return false;
        }
    }

    private void watchFailed(StorePosition from, StoreFailure failure, CallTimes times) {
        if (failure.kind() == StoreFailure.Kind.HISTORY_GONE) {
            logger.atInfo().log("event=history-gone kind=%s era=%d revision=%d", kind, from.era(), from.revision());
            listAll();
            return;
        }
        // The same changes would be unreadable again; a list shows their result.
        boolean listAgain = failure.kind() == StoreFailure.Kind.UNREADABLE;
        retryAfterDelay(failure, times, listAgain ? this::listAll : () -> watchFrom(from));
    }

    private void retryAfterDelay(StoreFailure failure, CallTimes times, Runnable next) {
        schedule(retries.next(), next);
        unavailable = true;
        availability.callFailed(failure, times, timers.now());
        refreshes.complete();
    }

    private void recordAvailable(CallTimes times) {
        retries.reset();
        unavailable = false;
        availability.callAnswered(times, timers.now());
    }

    private long rewriteNanos() {
        return availability.rewriteNanos(timers.now());
    }
}
