package org.quetzalseam.gateway.store;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;
import org.quetzalseam.gateway.runtime.Subscription;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Keeps up with one kind of objects: lists it, then watches it, and lists again when the store has dropped the history or has
 * come back from an older copy. Used on the event loop only.
 *
 * <p>A watch waits briefly, and one whose answer is late is begun anew over another connection, so that one that has gone silent
 * is noticed before a change is overdue.
 */
public final class KindWatch implements KindKnowledge {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** How long one watch waits, in milliseconds: changes must be in force within some seconds, a silent watch included. */
    static final long WAIT_MILLIS = 2_000;
    /** The same where an answer is wanted at once: while the store is away, so that its return is noticed within about a second. */
    static final long NO_WAIT_MILLIS = 1;
    /** How long after its wait a watch's answer is late, in milliseconds: more than a slow store takes, and little of a change's time. */
    static final long LATE_MILLIS = 250;
    /**
     * How long after changes the next ones are gathered before they are asked for, in milliseconds: endpoints that start or
     * leave together, and desired states in quick succession, then cost one call instead of one each. Small beside the time
     * in which a change must be in force.
     */
    static final long GATHER_MILLIS = 150;
    /** First pause after a failure, in milliseconds; it doubles up to the longest. */
    private static final long FIRST_PAUSE_MILLIS = 100;

    private static final long LONGEST_PAUSE_MILLIS = 300;
    /** How long after the store's return entries may still be missing that live, in nanoseconds. */
    private static final long RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    private static final Subscription NOTHING_DUE = () -> {};

    private final Timers timers;
    private final ObjectStore store;
    private final String kind;
    private final KindListener listener;
    private final LastWord word;
    private final List<Runnable> unconfirmed = new ArrayList<>();
    private final List<StoredObject> pages = new ArrayList<>();
    private long pauseMillis = FIRST_PAUSE_MILLIS;
    private long listEra;
    private long listAskedAt;
    private StorePosition listed = StorePosition.NONE;
    private StorePosition newest = StorePosition.NONE;
    /** Number of the newest watch; what comes of an earlier one is left aside. */
    private long watches;

    private boolean away;
    private boolean everAway;
    private long returnedAt;
    /** Whether the call under way is to be answered at once. */
    private boolean answerDue;

    private Subscription pause = NOTHING_DUE;

    /** Creates a watch; {@link #start} begins it. */
    public KindWatch(Timers timers, ObjectStore store, String kind, KindListener listener) {
        this.timers = timers;
        this.store = store;
        this.kind = kind;
        this.listener = listener;
        this.word = new LastWord(timers.now(), RETURN_NANOS);
    }

    /** Begins to list and watch. */
    public void start() {
        timers.soon(this::listAll);
    }

    @Override
    public long ageMillis() {
        return word.ageMillis(timers.now());
    }

    @Override
    public StorePosition position() {
        return newest;
    }

    @Override
    public boolean current() {
        return word.current(timers.now());
    }

    @Override
    public void confirm(Runnable answered) {
        if (away || newest.equals(StorePosition.NONE) || word.mayBeOldCopy(timers.now())) {
            answered.run();
            return;
        }
        unconfirmed.add(answered);
        if (!answerDue) {
            ask(NO_WAIT_MILLIS);
        }
    }

    /** Tells those who asked that the store has answered, or hasn't. */
    private void settle() {
        answerDue = false;
        List<Runnable> waiting = List.copyOf(unconfirmed);
        unconfirmed.clear();
        waiting.forEach(Runnable::run);
    }

    private void listAll() {
        pages.clear();
        answerDue = true;
        listAskedAt = timers.now();
        listFrom(null);
    }

    private void listFrom(@Nullable String after) {
        store.list(kind, after, page -> page(page, after), this::listFailed);
    }

    private void page(ObjectPage page, @Nullable String after) {
        if (after == null) {
            listEra = page.position().era();
        } else if (listEra != page.position().era()) {
            // Pages of two eras together are no list.
            listAll();
            return;
        }
        pages.addAll(page.objects());
        if (page.more()) {
            nextPage(page, after);
            return;
        }
        heard(listAskedAt);
        noteEra(page.position());
        guarded("all", () -> listener.listed(List.copyOf(pages), justReturned()));
        logger.atInfo().log(
                "event=listed kind=%s objects=%d era=%d revision=%d",
                kind, pages.size(), listed.era(), listed.revision());
        newest = listed;
        settle();
        watch(newest);
    }

    /** A store that has come back from an older copy lacks entries that live, as after an outage. */
    private void noteEra(StorePosition position) {
        if (!listed.equals(StorePosition.NONE) && listed.era() != position.era()) {
            logger.atWarning().log(
                    "event=store-restored kind=%s era_before=%d revision_before=%d era=%d revision=%d",
                    kind, listed.era(), listed.revision(), position.era(), position.revision());
            everAway = true;
            returnedAt = timers.now();
        }
        if (listed.era() != position.era()) {
            // To a process that has just started, a store that has come back before may have done so just now.
            word.copyShown(timers.now());
        }
        listed = position;
    }

    /** Part of a list would make the rest look gone: where no name leads on from a page, all is asked for again. */
    private void nextPage(ObjectPage page, @Nullable String after) {
        Optional<String> last = page.lastName();
        if (last.isEmpty() || last.get().equals(after)) {
            listFailed(new StoreFailure(StoreFailure.Kind.UNREADABLE, "a page without a name to go on from"));
            return;
        }
        heard(listAskedAt);
        listFrom(last.get());
    }

    private void listFailed(StoreFailure failure) {
        afterPause(failure, this::listAll);
    }

    private void watch(StorePosition from) {
        newest = from;
        ask(away ? NO_WAIT_MILLIS : WAIT_MILLIS);
    }

    private void ask(long waitMillis) {
        ask(waitMillis, !away);
    }

    /** Begins a watch in place of the one under way, if there is one; once, where it is late, it is begun elsewhere. */
    private void ask(long waitMillis, boolean mayBeLate) {
        long asked = ++watches;
        long askedAt = timers.now();
        answerDue = waitMillis == NO_WAIT_MILLIS;
        pause.cancel();
        StorePosition from = newest;
        Subscription late = mayBeLate ? timers.after(waitMillis + LATE_MILLIS, () -> askElsewhere(asked)) : NOTHING_DUE;
        store.watch(
                kind,
                from,
                waitMillis,
                changes -> answered(asked, late, () -> changes(from, changes, askedAt, waitMillis)),
                failure -> answered(asked, late, () -> watchFailed(from, failure)));
    }

    private void answered(long asked, Subscription late, Runnable call) {
        late.cancel();
        if (asked == watches) {
            call.run();
        }
    }

    /** Open connections may go silent for good while new ones work. */
    private void askElsewhere(long asked) {
        if (asked != watches) {
            return;
        }
        logger.atInfo().log("event=watch-late kind=%s era=%d revision=%d", kind, newest.era(), newest.revision());
        store.doubtConnections();
        ask(NO_WAIT_MILLIS, false);
    }

    private void changes(StorePosition from, ObjectChanges changes, long askedAt, long waitMillis) {
        if (from.era() != changes.position().era()) {
            // The revision asked about has been given out again: what came before it in this era would be missed.
            listAll();
            return;
        }
        // An answer without a change has waited.
        long waited = changes.changes().isEmpty() ? waitMillis : 0;
        heard(askedAt + TimeUnit.MILLISECONDS.toNanos(waited));
        for (ObjectChanges.Change change : changes.changes()) {
            if (change.deleted()) {
                guarded(change.object().name(), () -> listener.deleted(change.object(), justReturned()));
            } else {
                guarded(change.object().name(), () -> listener.changed(change.object()));
            }
        }
        newest = StorePosition.later(from, changes.position());
        settle();
        pause = timers.after(changes.changes().isEmpty() ? 0 : GATHER_MILLIS, () -> watch(newest));
    }

    /** An object that can't be read is left aside: those behind it must still be heard of. */
    private void guarded(String name, Runnable call) {
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
        afterPause(failure, listAgain ? this::listAll : () -> watch(from));
    }

    private void afterPause(StoreFailure failure, Runnable next) {
        if (!away) {
            away = true;
            everAway = true;
            logger.atWarning().log(
                    "event=store-lost kind=%s failure=%s detail=\"%s\"", kind, failure.kind(), failure.detail());
        }
        settle();
        pause = timers.after(pauseMillis, next);
        pauseMillis = Math.min(2 * pauseMillis, LONGEST_PAUSE_MILLIS);
    }

    private void heard(long asOf) {
        pauseMillis = FIRST_PAUSE_MILLIS;
        word.said(asOf);
        if (away) {
            away = false;
            returnedAt = timers.now();
            logger.atInfo().log("event=store-back kind=%s", kind);
        }
    }

    private boolean justReturned() {
        return everAway && timers.now() - returnedAt < RETURN_NANOS;
    }
}
