package org.quetzalseam.gateway.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.store.ObjectPage;
import org.quetzalseam.gateway.store.StoreFailure;
import org.quetzalseam.gateway.store.StoredObject;

/** Reads all pages of a list of entries. Used on the event loop only. */
final class EntryPages {
    private final PageReader reader;
    private final Consumer<ObjectPage> done;
    private final Consumer<StoreFailure> failed;
    private final List<StoredObject> objects = new ArrayList<>();

    /** Reads one page. */
    interface PageReader {
        /** Reads the page that follows a name, or the first one if the name is null. */
        void read(@Nullable String after, Consumer<ObjectPage> done, Consumer<StoreFailure> failed);
    }

    private EntryPages(PageReader reader, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
        this.reader = reader;
        this.done = done;
        this.failed = failed;
    }

    /** Reads all pages and delivers them as one, with the position of the last; fails if any page can't be read. */
    static void readAll(PageReader reader, Consumer<ObjectPage> done, Consumer<StoreFailure> failed) {
        new EntryPages(reader, done, failed).readNext(null);
    }

    private void readNext(@Nullable String after) {
        reader.read(after, this::receive, failed);
    }

    private void receive(ObjectPage page) {
        objects.addAll(page.objects());
        Optional<String> last = page.lastName();
        if (page.more() && last.isPresent()) {
            readNext(last.get());
        } else {
            done.accept(new ObjectPage(objects, false, page.position()));
        }
    }
}
