package org.quetzalseam.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.store.StorePosition;

class PagedListTest {
    private final List<String> requests = new ArrayList<>();
    private final List<String> results = new ArrayList<>();

    private void read(ObjectPage... pages) {
        Iterator<ObjectPage> answers = Arrays.asList(pages).iterator();
        PagedList.read(
                (after, done, failed) -> {
                    requests.add(after == null ? "first" : "after " + after);
                    done.accept(answers.next());
                },
                list -> results.add(names(list.objects()) + " from "
                        + list.first().revision() + " to " + list.last().revision()),
                failure -> results.add(failure.kind().toString()));
    }

    private static List<String> names(List<StoredObject> objects) {
        return objects.stream().map(StoredObject::name).toList();
    }

    private static ObjectPage page(long era, long revision, boolean more, String... names) {
        StorePosition position = new StorePosition(era, revision);
        List<StoredObject> objects = Arrays.stream(names)
                .map(name -> new StoredObject(name, position, JsonNodeFactory.instance.objectNode()))
                .toList();
        return new ObjectPage(objects, more, position);
    }

    // Guards against a list being dated by its last page, though its first one is older.
    @Test
    void theWholeListStatesTheFirstAndTheLastPage() {
        read(page(1, 5, true, "a", "b"), page(1, 7, true, "c"), page(1, 9, false, "d"));
        assertThat(results).containsExactly("[a, b, c, d] from 5 to 9");
        assertThat(requests).containsExactly("first", "after b", "after c");
    }

    // Guards against a list that has objects of a state which the store has lost.
    @Test
    void pagesOfTwoErasAreReadAgain() {
        read(page(1, 5, true, "a"), page(2, 3, false, "b"), page(2, 3, true, "a"), page(2, 3, false, "b"));
        assertThat(results).containsExactly("[a, b] from 3 to 3");
        assertThat(requests).containsExactly("first", "after a", "first", "after a");
    }

    // Guards against part of a list passing for the whole when its next page can't be requested.
    @Test
    void aPageWithoutANewLastNameIsNoEnd() {
        read(page(1, 5, true, "a"), page(1, 5, true, ""));
        assertThat(results).containsExactly("UNREADABLE");
        results.clear();
        read(page(1, 5, true, "a"), page(1, 5, true, "a"));
        assertThat(results).containsExactly("UNREADABLE");
    }
}
