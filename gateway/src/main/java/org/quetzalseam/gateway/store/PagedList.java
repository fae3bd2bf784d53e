package org.quetzalseam.gateway.store;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.store.StorePosition;

/**
 * Reads the pages of one list and delivers them together. The whole is as old as its first page: what changed on a page after it was
 * read is not in the list. Pages of two eras do not form one list, so it is then read again from the first page. Used on the event loop
 * only.
 */
public final class PagedList {
    private final PageReader reader;
    private final Consumer<WholeList> done;
    private final Consumer<StoreFailure> failed;
    private final List<StoredObject> objects = new ArrayList<>();
    private StorePosition first = StorePosition.NONE;

    /** Reads one page. */
    public interface PageReader {
        /** Reads the page that follows a name, or the first one if the name is null. */
        void read(@Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);
    }

    /**
     * All objects of a list. Immutable.
     *
     * @param objects the objects of all pages
     * @param first the position of the first page, at which the list is complete
     * @param last the position of the last page; objects may be as new as this
     */
    public record WholeList(List<StoredObject> objects, StorePosition first, StorePosition last) {
        /** Copies the objects. */
        public WholeList {
            objects = List.copyOf(objects);
        }
    }

    private PagedList(PageReader reader, Consumer<WholeList> done, Consumer<StoreFailure> failed) {
        this.reader = reader;
        this.done = done;
        this.failed = failed;
    }

    /**
     * Reads all pages.
     *
     * @param reader reads a page
     * @param done receives the list when its last page has been read
     * @param failed receives the reason if any page can't be read or the page after it can't be requested, because the objects missing
     *     from a partial list would seem deleted
     */
    public static void read(PageReader reader, Consumer<WholeList> done, Consumer<StoreFailure> failed) {
        new PagedList(reader, done, failed).readFirst();
    }

    private void readFirst() {
        objects.clear();
        readAfter(null);
    }

    private void readAfter(@Nullable String after) {
        reader.read(after, page -> receive(page, after), failed);
    }

    private void receive(ObjectPage page, @Nullable String after) {
        if (after == null) {
            first = page.position();
        } else if (page.position().era() != first.era()) {
            readFirst();
            return;
        }
        objects.addAll(page.objects());
        if (!page.more()) {
            done.accept(new WholeList(objects, first, page.position()));
            return;
        }
        Optional<String> last = page.lastName();
        if (last.isEmpty() || last.get().equals(after)) {
            failed.accept(new StoreFailure(
                    StoreFailure.Kind.UNREADABLE, "expected a page with a new last name to continue from"));
            return;
        }
        readAfter(last.get());
    }
}
