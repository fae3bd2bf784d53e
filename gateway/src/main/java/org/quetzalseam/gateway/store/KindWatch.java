package org.quetzalseam.gateway.store;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Keeps up with one kind of objects: lists it, then watches it, and lists again when the store has dropped the history or has
 * come back from an older copy. Used on the event loop only.
 *
 * <p>A watch waits briefly, and one whose answer is late is begun anew over another connection, so that one that has gone silent
 * is noticed before a change is overdue.
 */
public final class KindWatch implements KindFreshness {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long one watch waits, in milliseconds: changes must be in force within some seconds, a silent watch included. */
    static final long WATCH_WAIT_MILLIS = 2_000;
    /** The same where an answer is wanted at once: while the store is away, so that its return is noticed within about a second. */
    static final long NO_WAIT_MILLIS = 1;
    /** How long after its wait a watch's answer is late, in milliseconds: more than a slow store takes, and little of a change's time. */
    static final long LATE_AFTER_MILLIS = 250;
    /**
     * How long after changes the next ones are gathered before they are asked for, in milliseconds: endpoints that start or
     * leave together, and desired states in quick succession, then cost one call instead of one each. Small beside the time
     * in which a change must be in force.
     */
    static final long BATCH_MILLIS = 150;
    /** First pause after a failure, in milliseconds; it doubles up to the longest. */
    private static final long FIRST_RETRY_DELAY_MILLIS = 100;

    private static final long MAX_RETRY_DELAY_MILLIS = 300;
    /** How long after the store's return entries may still be missing that live, in nanoseconds. */
    private static final long RECOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private static final ScheduledCall NO_TIMER = () -> {};

    private final Timers timers;
    private final ObjectStore store;
    private final String kind;
    private final KindListener listener;
    private final LastResponse lastResponse;
    private final List<Runnable> refreshCallbacks = new ArrayList<>();
    private final List<StoredObject> listedObjects = new ArrayList<>();
    private long retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
    private long listEra;
    private long listSentAtNanos;
    private StorePosition lastListed = StorePosition.NONE;
    private StorePosition newest = StorePosition.NONE;
    /** Number of the newest watch; what comes of an earlier one is left aside. */
    private long newestWatch;

    private boolean unavailable;
    private boolean everUnavailable;
    private long recoveredAtNanos;
    /** Whether the call under way is to be answered at once. */
    private boolean immediateAnswerExpected;

    private ScheduledCall nextCall = NO_TIMER;

    /** Creates a watch; {@link #start} begins it. */
    public KindWatch(Timers timers, ObjectStore store, String kind, KindListener listener) {
        this.timers = timers;
        this.store = store;
        this.kind = kind;
        this.listener = listener;
        this.lastResponse = new LastResponse(timers.now(), RECOVERY_NANOS);
    }

    /** Begins to list and watch. */
    public void start() {
        timers.soon(this::listAll);
    }

    @Override
    public long ageMillis() {
        return lastResponse.ageMillis(timers.now());
    }

    @Override
    public StorePosition position() {
        return newest;
    }

    @Override
    public boolean current() {
        return lastResponse.current(timers.now());
    }

    @Override
    public void refresh(Runnable answered) {
        if (unavailable || newest.equals(StorePosition.NONE) || lastResponse.recentlyRestored(timers.now())) {
            answered.run();
            return;
        }
        refreshCallbacks.add(answered);
        if (!immediateAnswerExpected) {
            startWatch(NO_WAIT_MILLIS);
        }
    }

    /** Tells those who asked that the store has answered, or hasn't. */
    private void completeRefreshes() {
        immediateAnswerExpected = false;
        List<Runnable> waiting = List.copyOf(refreshCallbacks);
        refreshCallbacks.clear();
        waiting.forEach(Runnable::run);
    }

    private void listAll() {
        listedObjects.clear();
        immediateAnswerExpected = true;
        listSentAtNanos = timers.now();
        listFrom(null);
    }

    private void listFrom(@Nullable String after) {
        store.list(kind, after, page -> onPage(page, after), this::listFailed);
    }

    private void onPage(ObjectPage page, @Nullable String after) {
        if (after == null) {
            listEra = page.position().era();
        } else if (listEra != page.position().era()) {
            // Pages of two eras together are no list.
            listAll();
            return;
        }
        listedObjects.addAll(page.objects());
        if (page.more()) {
            requestNextPage(page, after);
            return;
        }
        recordResponse(listSentAtNanos);
        recordEra(page.position());
        notifyListener("all", () -> listener.listed(List.copyOf(listedObjects), recentlyRecovered()));
        logger.atInfo().log(
                "event=listed kind=%s objects=%d era=%d revision=%d",
                kind, listedObjects.size(), lastListed.era(), lastListed.revision());
        newest = lastListed;
        completeRefreshes();
        watchFrom(newest);
    }

    /** A store that has come back from an older copy lacks entries that live, as after an outage. */
    private void recordEra(StorePosition position) {
        if (!lastListed.equals(StorePosition.NONE) && lastListed.era() != position.era()) {
            logger.atWarning().log(
                    "event=store-restored kind=%s era_before=%d revision_before=%d era=%d revision=%d",
                    kind, lastListed.era(), lastListed.revision(), position.era(), position.revision());
            everUnavailable = true;
            recoveredAtNanos = timers.now();
        }
        if (lastListed.era() != position.era()) {
            // To a process that has just started, a store that has come back before may have done so just now.
            lastResponse.recordRestore(timers.now());
        }
        lastListed = position;
    }

    /** Part of a list would make the rest look gone: where no name leads on from a page, all is asked for again. */
    private void requestNextPage(ObjectPage page, @Nullable String after) {
        Optional<String> last = page.lastName();
        if (last.isEmpty() || last.get().equals(after)) {
            listFailed(new StoreFailure(StoreFailure.Kind.UNREADABLE, "a page without a name to go on from"));
            return;
        }
        recordResponse(listSentAtNanos);
        listFrom(last.get());
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

    /** Begins a watch in place of the one under way, if there is one; once, where it is late, it is begun elsewhere. */
    private void startWatch(long waitMillis, boolean mayBeLate) {
        long asked = ++newestWatch;
        long askedAt = timers.now();
        immediateAnswerExpected = waitMillis == NO_WAIT_MILLIS;
        nextCall.cancel();
        StorePosition from = newest;
        ScheduledCall late =
                mayBeLate ? timers.after(waitMillis + LATE_AFTER_MILLIS, () -> restartWatch(asked)) : NO_TIMER;
        store.watch(
                kind,
                from,
                waitMillis,
                changes -> onAnswer(asked, late, () -> onChanges(from, changes, askedAt, waitMillis)),
                failure -> onAnswer(asked, late, () -> watchFailed(from, failure)));
    }

    private void onAnswer(long asked, ScheduledCall late, Runnable call) {
        late.cancel();
        if (asked == newestWatch) {
            call.run();
        }
    }

    /** Open connections may go silent for good while new ones work. */
    private void restartWatch(long asked) {
        if (asked != newestWatch) {
            return;
        }
        logger.atInfo().log("event=watch-late kind=%s era=%d revision=%d", kind, newest.era(), newest.revision());
        store.retireConnections();
        startWatch(NO_WAIT_MILLIS, false);
    }

    private void onChanges(StorePosition from, ObjectChanges changes, long askedAt, long waitMillis) {
        if (from.era() != changes.position().era()) {
            // The revision asked about has been given out again: what came before it in this era would be missed.
            listAll();
            return;
        }
        // An answer without a change has waited.
        long waited = changes.changes().isEmpty() ? waitMillis : 0;
        recordResponse(askedAt + TimeUnit.MILLISECONDS.toNanos(waited));
        for (ObjectChanges.Change change : changes.changes()) {
            if (change.deleted()) {
                notifyListener(change.object().name(), () -> listener.deleted(change.object(), recentlyRecovered()));
            } else {
                notifyListener(change.object().name(), () -> listener.changed(change.object()));
            }
        }
        newest = StorePosition.later(from, changes.position());
        completeRefreshes();
        nextCall = timers.after(changes.changes().isEmpty() ? 0 : BATCH_MILLIS, () -> watchFrom(newest));
    }

    /** An object that can't be read is left aside: those behind it must still be heard of. */
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
        // The same changes would be as unreadable again; a list tells what came of them.
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

    private void recordResponse(long asOf) {
        retryDelayMillis = FIRST_RETRY_DELAY_MILLIS;
        lastResponse.recordResponse(asOf);
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
