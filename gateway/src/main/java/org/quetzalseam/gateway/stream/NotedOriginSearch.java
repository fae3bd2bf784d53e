package org.quetzalseam.gateway.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.UnreadableException;
import org.quetzalseam.core.stream.NotedOrigin;
import org.quetzalseam.gateway.runtime.ThrownErrors;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.ObjectFaults;
import org.quetzalseam.gateway.store.ObjectPage;
import org.quetzalseam.gateway.store.ObjectStore;
import org.quetzalseam.gateway.store.StoredObject;

/**
 * Searches the notes of all entries for the origins of streams. One list answers all questions that wait when it begins; it is read
 * page by page, because the whole may have some megabytes. Used on the event loop only.
 */
final class NotedOriginSearch {
    /** Shortest time between the beginnings of two lists, in milliseconds: as long as a refused caller is asked to wait. */
    private static final long MIN_INTERVAL_MILLIS = 500;
    /** That time for each entry, in milliseconds, so that all together begin 200 lists a second, and 2 s pass at 400 entries. */
    private static final long INTERVAL_MILLIS_PER_ENTRY = 5;
    /** Longest time for which a question waits, in milliseconds: an interval, a page that is not answered, and some that are. */
    static final long DEADLINE_MILLIS = 4_000;
    /** Maximum number of questions that wait; each has a caller's connection. */
    private static final int MAX_QUESTIONS = 5_000;

    private final Timers timers;
    private final ObjectFaults faults = new ObjectFaults(NotedOrigins.KIND);
    private final List<Question> waiting = new ArrayList<>();
    private @Nullable ObjectStore store;
    private boolean scheduled;
    private boolean begun;
    private long lastBegunAt;
    private int entries;

    NotedOriginSearch(Timers timers) {
        this.timers = timers;
    }

    /** A question that is answered once. */
    private static final class Question {
        private final String stream;
        private final Consumer<OriginFinding> found;
        private boolean answered;

        Question(String stream, Consumer<OriginFinding> found) {
            this.stream = stream;
            this.found = found;
        }

        void answer(OriginFinding finding) {
            if (!answered) {
                answered = true;
                found.accept(finding);
            }
        }
    }

    /** A stream of which a note was found. Immutable. */
    private record Found(NotedOrigin note, String entry) {}

    /** Begins to use the store. */
    void start(ObjectStore objectStore) {
        store = objectStore;
    }

    /** Sets the number of entries of the site. */
    void entries(int counted) {
        entries = counted;
    }

    /** Finds where an attempt began a stream; unknown if the store does not answer in time. */
    void find(String attempt, Consumer<OriginFinding> found) {
        ObjectStore used = store;
        if (used == null || waiting.size() >= MAX_QUESTIONS) {
            found.accept(OriginFinding.NOT_ASKED);
            return;
        }
        Question question = new Question(NotedOrigin.digest(attempt), found);
        waiting.add(question);
        timers.after(DEADLINE_MILLIS, () -> {
            waiting.remove(question);
            question.answer(OriginFinding.NOT_ASKED);
        });
        schedule(used);
    }

    private void schedule(ObjectStore used) {
        if (scheduled || waiting.isEmpty()) {
            return;
        }
        scheduled = true;
        timers.after(delayMillis(), () -> beginOrRepeat(used));
    }

    /** Begins a list, or another one later if that fails: the questions that wait would get none. */
    private void beginOrRepeat(ObjectStore used) {
        try {
            begin(used);
        } catch (Throwable e) {
            ThrownErrors.record("origins", e);
            scheduled = false;
            schedule(used);
        }
    }

    /** The first list of a process begins at a random time, because all entries may have started at once. */
    private long delayMillis() {
        long intervalMillis = Math.max(MIN_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_ENTRY * entries);
        if (!begun) {
            return ThreadLocalRandom.current().nextLong(1 + INTERVAL_MILLIS_PER_ENTRY * entries);
        }
        long sinceMillis = TimeUnit.NANOSECONDS.toMillis(timers.now() - lastBegunAt);
        return Math.max(0, intervalMillis - sinceMillis);
    }

    private void begin(ObjectStore used) {
        begun = true;
        lastBegunAt = timers.now();
        List<Question> asked = List.copyOf(waiting);
        waiting.clear();
        Map<String, Found> found = new HashMap<>();
        asked.forEach(question -> found.put(question.stream, null));
        read(used, null, found, () -> end(used, asked, found));
    }

    private void read(ObjectStore used, @Nullable String after, Map<String, Found> found, Runnable done) {
        used.list(
                NotedOrigins.KIND,
                after,
                page -> {
                    page.objects().forEach(object -> look(object, found));
                    next(used, after, page, found, done);
                },
                failure -> {
                    // Notes that were not read may say something else of a stream than those that were.
                    found.clear();
                    done.run();
                });
    }

    private void next(
            ObjectStore used, @Nullable String after, ObjectPage page, Map<String, Found> found, Runnable done) {
        String last = page.lastName().orElse(null);
        if (!page.more()) {
            done.run();
        } else if (last == null || last.equals(after)) {
            found.clear();
            done.run();
        } else {
            read(used, last, found, done);
        }
    }

    private void look(StoredObject object, Map<String, Found> found) {
        try {
            long wallMillis = timers.wallMillis();
            for (NotedOrigin note : OriginsObject.of(object.spec())) {
                if (found.containsKey(note.stream()) && !note.expired(wallMillis)) {
                    found.merge(
                            note.stream(),
                            new Found(note, object.name()),
                            (one, other) -> new Found(one.note().merge(other.note()), other.entry()));
                }
            }
            faults.readable(object.name());
        } catch (UnreadableException e) {
            faults.unreadable(object.name(), e);
        }
    }

    private void end(ObjectStore used, List<Question> asked, Map<String, Found> found) {
        scheduled = false;
        for (Question question : asked) {
            Found known = found.get(question.stream);
            question.answer(
                    known == null || known.note().build().isEmpty()
                            ? OriginFinding.NOT_ASKED
                            : OriginFinding.noted(known.note().origin(), known.entry()));
        }
        schedule(used);
    }
}
