package org.quetzalseam.gateway.store;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;

/** A store in memory that answers at once, unless a test makes it decline calls or lose the answers to writes. */
public final class MemoryStore implements ObjectStore {
    private boolean repeatingAnswers;
    private final Map<String, StoredObject> objects = new TreeMap<>();
    private StorePosition shown = StorePosition.NONE;
    private long era;
    private long revision;
    private int lists;
    private boolean declining;
    private boolean losingAnswers;
    private @Nullable StoredObject recentObject;
    private @Nullable List<StoredObject> recentList;
    private int pageSize = Integer.MAX_VALUE;
    private Runnable betweenPages = () -> {};
    private int failingReplacements;

    /** Sets whether calls are declined. */
    public void declining(boolean declining) {
        this.declining = declining;
    }

    /** Sets whether writes take effect while their answers are lost. */
    public void losingAnswers(boolean losingAnswers) {
        this.losingAnswers = losingAnswers;
    }

    /** Sets the old object with which calls of {@link #readRecent} are answered. */
    public void answerRecentReadsWith(StoredObject object) {
        recentObject = object;
    }

    /** Sets the old list with which calls of {@link #listRecent} are answered; null for the newest state again. */
    public void answerRecentListsWith(@Nullable List<StoredObject> objects) {
        recentList = objects;
    }

    /** Sets the number of objects in a page of a list. */
    public void pageSize(int objects) {
        pageSize = objects;
    }

    /** Sets what happens once between the first and the second page of a list. */
    public void betweenPages(Runnable event) {
        betweenPages = event;
    }

    /** Sets how many of the next replacements throw an error before they have any effect. */
    public void failReplacements(int count) {
        failingReplacements = count;
    }

    /** Returns how often a kind has been listed. */
    public int lists() {
        return lists;
    }

    /** Returns an object's content, or null where there is no such object. */
    public @Nullable JsonNode spec(String kind, String name) {
        StoredObject object = objects.get(kind + "/" + name);
        return object == null ? null : object.spec();
    }

    /** Writes an object unconditionally. */
    public StoredObject put(String kind, String name, JsonNode spec) {
        revision++;
        StoredObject object = new StoredObject(name, now(), spec);
        objects.put(kind + "/" + name, object);
        return object;
    }

    /** The content of the store at one time. */
    public record Copy(Map<String, StoredObject> objects, long revision) {}

    /** Returns a copy from which the store can be restored. */
    public Copy copy() {
        return new Copy(Map.copyOf(objects), revision);
    }

    /** Restores the store from a copy, in a new era: later writes are lost, and their revisions are assigned again. */
    public void restore(Copy copy) {
        era++;
        objects.clear();
        copy.objects()
                .forEach((path, object) -> objects.put(
                        path,
                        new StoredObject(
                                object.name(),
                                new StorePosition(era, object.position().revision()),
                                object.spec())));
        revision = copy.revision();
    }

    /** Returns the store's present era, which callers may not have seen yet. */
    public long era() {
        return era;
    }

    /** Removes an object. */
    public void remove(String kind, String name) {
        revision++;
        objects.remove(kind + "/" + name);
    }

    private StorePosition now() {
        return new StorePosition(era, revision);
    }

    @Override
    public StorePosition position() {
        return shown;
    }

    @Override
    public void retireConnections() {}

    private boolean declines(Consumer<StoreFailure> failed) {
        shown = new StorePosition(era, shown.revision());
        if (declining) {
            failed.accept(new StoreFailure(StoreFailure.Kind.DECLINED, "status 503"));
        }
        return declining;
    }

    private void written(StoredObject object, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
        if (losingAnswers) {
            failed.accept(new StoreFailure(StoreFailure.Kind.UNKNOWN, "reset"));
        } else {
            shown = now();
            done.accept(object);
        }
    }

    @Override
    public void list(String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
        lists++;
        if (after != null) {
            Runnable event = betweenPages;
            betweenPages = () -> {};
            event.run();
        }
        if (declines(failed)) {
            return;
        }
        List<StoredObject> found = new ArrayList<>();
        objects.forEach((path, object) -> {
            if (path.startsWith(kind + "/") && (after == null || object.name().compareTo(after) > 0)) {
                found.add(object);
            }
        });
        found.sort(Comparator.comparing(StoredObject::name));
        shown = now();
        boolean more = found.size() > pageSize;
        done.accept(new ObjectPage(more ? found.subList(0, pageSize) : found, more, now()));
    }

    @Override
    public void listRecent(
            String kind, @Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
        List<StoredObject> old = recentList;
        if (old == null) {
            list(kind, after, done, failed);
        } else {
            done.accept(new ObjectPage(old, false, now()));
        }
    }

    @Override
    public void watch(
            String kind,
            StorePosition from,
            long waitMillis,
            Consumer<ObjectChanges> done,
            Consumer<StoreFailure> failed) {
        throw new UnsupportedOperationException("this store is not watched");
    }

    @Override
    public void read(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
        if (declines(failed)) {
            return;
        }
        StoredObject object = objects.get(kind + "/" + name);
        if (object == null) {
            failed.accept(new StoreFailure(StoreFailure.Kind.NOT_FOUND, "status 404"));
        } else {
            done.accept(object);
        }
    }

    @Override
    public void readRecent(String kind, String name, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
        StoredObject old = recentObject;
        if (old == null) {
            read(kind, name, done, failed);
        } else {
            done.accept(old);
        }
    }

    @Override
    public void create(
            String kind, String name, JsonNode spec, Consumer<StoredObject> done, Consumer<StoreFailure> failed) {
        if (declines(failed)) {
            return;
        }
        if (objects.containsKey(kind + "/" + name)) {
            failed.accept(new StoreFailure(StoreFailure.Kind.CONFLICT, "status 409"));
            return;
        }
        written(put(kind, name, spec), done, failed);
    }

    @Override
    public void replace(
            String kind,
            String name,
            StorePosition expected,
            JsonNode spec,
            Consumer<StoredObject> done,
            Consumer<StoreFailure> failed) {
        if (failingReplacements > 0) {
            failingReplacements--;
            throw new InternalError("thrown by the test");
        }
        if (declines(failed)) {
            return;
        }
        StoredObject present = objects.get(kind + "/" + name);
        if (present == null || !present.position().equals(expected)) {
            failed.accept(new StoreFailure(StoreFailure.Kind.CONFLICT, "status 409"));
            return;
        }
        StoredObject replaced = put(kind, name, spec);
        written(repeatingAnswers ? present : replaced, done, failed);
    }

    /** Sets whether a replacement is answered by what the write before it was answered. */
    public void repeatLastWrite(boolean now) {
        repeatingAnswers = now;
    }
}
