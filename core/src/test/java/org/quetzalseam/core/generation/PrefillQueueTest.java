package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * Guards against prompts that are refused although they could be answered late. A burst of twice the mean load for four
 * seconds, at engines that can prefill 1.3 times the mean, leaves some forty prompts that cannot be in time, but are
 * prefilled in the lull after it if they wait. Callers of a stream wait four objectives of 900 ms without an event.
 */
class PrefillQueueTest {
    private static final double OBJECTIVE_MILLIS = 900;
    private static final double CALLER_TIMEOUT_MILLIS = 3_600;

    private final PrefillQueue<String> queue = new PrefillQueue<>();
    private long now = 5;

    private void pass(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static PrefillPlanner.Deadline deadline(double ageMillis) {
        return new PrefillPlanner.Deadline(
                OBJECTIVE_MILLIS - ageMillis, CALLER_TIMEOUT_MILLIS - ageMillis, OBJECTIVE_MILLIS);
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
        PrefillQueue<String>.Position position = add("fresh", 0);
        pass(2_300);
        assertThat(position.hasExpired(now)).isFalse();
        pass(100);
        assertThat(position.hasExpired(now)).isTrue();
        assertThat(position.waitedMillis(now)).isEqualTo(2_400);
    }

    @Test
    void aRemovedPromptNoLongerCounts() {
        PrefillQueue<String>.Position position = add("gone", 0);
        add("other", 0);
        queue.remove(position);
        queue.remove(position);
        assertThat(order()).containsExactly("other");
        assertThat(queue.size()).isEqualTo(1);
        assertThat(queue.isEmpty()).isFalse();
    }
}
