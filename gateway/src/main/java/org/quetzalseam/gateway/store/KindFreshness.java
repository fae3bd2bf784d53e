package org.quetzalseam.gateway.store;

import java.util.Locale;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quetzalseam.core.store.StorePosition;

/** Reports how current the known state of one kind of objects is. Used on the event loop only. */
public interface KindFreshness {
    /** Returns the age of the store's last response, in milliseconds. */
    long ageMillis();

    /** Returns the store's position that the last response showed. */
    StorePosition position();

    /** Returns age and position in a form for the log. */
    default String describe() {
        return String.format(
                Locale.ROOT,
                "word_age_ms=%d era=%d revision=%d",
                ageMillis(),
                position().era(),
                position().revision());
    }

    /** Returns whether the state is known to be the newest, except for changes that need not be in force yet. */
    boolean current();

    /**
     * Requests the newest state from the store.
     *
     * @param answered called once the store has answered or the call has failed; called at once where the newest state cannot be
     *     known now
     */
    void refresh(Runnable answered);

    /**
     * Requests a state that is at least as recent as a given moment; once more if the answer is to a question from before it.
     *
     * @param sinceMillis states how long ago that moment was, in milliseconds
     * @param answered receives whether the known state is proved to be as recent
     */
    default void refreshSince(LongSupplier sinceMillis, Consumer<Boolean> answered) {
        refresh(() -> {
            if (ageMillis() <= sinceMillis.getAsLong()) {
                answered.accept(true);
            } else {
                refresh(() -> answered.accept(ageMillis() <= sinceMillis.getAsLong()));
            }
        });
    }
}
