package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A burst of twice the mean for four seconds, at engines that read 1.3 times the mean: some forty prompts can't be in time, and are
 * read in the lull after it if they wait. Callers of a stream stay four objectives of 900 ms without an event.
 */
class PrefillQueueTest {
    private static final double OBJECTIVE = 900;
    private static final double CALLER_TIMEOUT = 3_600;

    private final PrefillQueue<String> queue = new PrefillQueue<>();
    private long now = 5;

    private void pass(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static PrefillPlanner.Deadline deadline(double ageMillis) {
        return new PrefillPlanner.Deadline(OBJECTIVE - ageMillis, CALLER_TIMEOUT - ageMillis, OBJECTIVE);
    }

    private PrefillQueue<String>.Position add(String prompt, double ageMillis) {
        return queue.add(prompt, deadline(ageMillis), now);
    }

    private List<String> order() {
        return queue.inOrder(now).stream().map(PrefillQueue.Position::prompt).toList();
    }

    @Test
    void promptsThatCanBeInTimeGoFirstTheMostUrgentBeforeTheOthers() {
        add("late", 1_000);
        add("urgent", 700);
        pass(10);
        add("fresh", 0);
        add("more urgent", 800);
        assertThat(order()).containsExactly("more urgent", "urgent", "fresh", "late");
    }

    @Test
    void latePromptsFollowInTheOrderOfArrival() {
        add("first", 500);
        pass(100);
        add("second", 700);
        pass(500);
        add("fresh", 0);
        assertThat(order()).containsExactly("fresh", "first", "second");
    }

    @Test
    void aNewPromptQueuesBehindItsOwnKindOnly() {
        assertThat(queue.mustQueue(deadline(0), now)).isFalse();
        add("late", 2_000);
        assertThat(queue.mustQueue(deadline(0), now)).as("in time").isFalse();
        assertThat(queue.mustQueue(deadline(1_500), now)).as("late").isTrue();
        add("fresh", 0);
        assertThat(queue.mustQueue(deadline(0), now))
                .as("another in time waits")
                .isTrue();
    }

    @Test
    void aPromptExpiresWhileItsCallerStillWaitsLongEnoughForTheFirstEvent() {
        PrefillQueue<String>.Position place = add("fresh", 0);
        pass(2_300);
        assertThat(place.hasExpired(now)).isFalse();
        pass(100);
        assertThat(place.hasExpired(now)).isTrue();
        assertThat(place.waitedMillis(now)).isEqualTo(2_400);
    }

    @Test
    void aRemovedPromptNoLongerCounts() {
        PrefillQueue<String>.Position place = add("gone", 0);
        add("other", 0);
        queue.remove(place);
        queue.remove(place);
        assertThat(order()).containsExactly("other");
        assertThat(queue.size()).isEqualTo(1);
        assertThat(queue.isEmpty()).isFalse();
    }
}
