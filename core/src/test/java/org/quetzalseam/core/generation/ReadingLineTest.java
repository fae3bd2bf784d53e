package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/**
 * A burst of twice the mean for four seconds, at engines that read 1.3 times the mean: some forty prompts can't be in time, and are
 * read in the lull after it if they wait. Callers of a stream stay four objectives of 900 ms without an event.
 */
class ReadingLineTest {
    private static final double OBJECTIVE = 900;
    private static final double SILENCE = 3_600;

    private final ReadingLine<String> line = new ReadingLine<>();
    private long now = 5;

    private void pass(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static ReadingPool.Due due(double ageMillis) {
        return new ReadingPool.Due(OBJECTIVE - ageMillis, SILENCE - ageMillis, OBJECTIVE);
    }

    private ReadingLine<String>.Place enter(String prompt, double ageMillis) {
        return line.enter(prompt, due(ageMillis), now);
    }

    private List<String> order() {
        return line.order(now).stream().map(ReadingLine.Place::waiting).toList();
    }

    @Test
    void whoCanBeInTimeGoesFirstAndAmongThemTheMostUrgent() {
        enter("late", 1_000);
        enter("urgent", 700);
        pass(10);
        enter("fresh", 0);
        enter("more urgent", 800);
        assertThat(order()).containsExactly("more urgent", "urgent", "fresh", "late");
    }

    @Test
    void whoHasBecomeLateFollowsInTheOrderOfArrival() {
        enter("first", 500);
        pass(100);
        enter("second", 700);
        pass(500);
        enter("fresh", 0);
        assertThat(order()).containsExactly("fresh", "first", "second");
    }

    @Test
    void aNewPromptQueuesBehindItsOwnKindOnly() {
        assertThat(line.mustQueue(due(0), now)).isFalse();
        enter("late", 2_000);
        assertThat(line.mustQueue(due(0), now)).as("in time").isFalse();
        assertThat(line.mustQueue(due(1_500), now)).as("late").isTrue();
        enter("fresh", 0);
        assertThat(line.mustQueue(due(0), now)).as("another in time waits").isTrue();
    }

    @Test
    void nobodyWaitsSoLongThatItsCallerIsGoneBeforeTheFirstEvent() {
        ReadingLine<String>.Place place = enter("fresh", 0);
        pass(2_300);
        assertThat(place.expired(now)).isFalse();
        pass(100);
        assertThat(place.expired(now)).isTrue();
        assertThat(place.waitedMillis(now)).isEqualTo(2_400);
    }

    @Test
    void whoHasLeftIsInNobodysWay() {
        ReadingLine<String>.Place place = enter("gone", 0);
        enter("other", 0);
        line.leave(place);
        line.leave(place);
        assertThat(order()).containsExactly("other");
        assertThat(line.size()).isEqualTo(1);
        assertThat(line.isEmpty()).isFalse();
    }
}
