package org.quetzalseam.daemon.endpoint;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.attempt.AttemptId;

class KeptAnswersTest {
    private static final Duration RETENTION = Duration.ofSeconds(30);
    private static final long LIMIT_BYTES = 100_000;
    private static final int SMALL_BYTES = 40_000;

    private static final int LARGE_BYTES = 70_000;

    private final List<String> reached = new ArrayList<>();
    private final List<Integer> forgotten = new ArrayList<>();
    private final KeptAnswers answers = new KeptAnswers(LIMIT_BYTES, RETENTION, reached::add);

    private void add(int number, int bytes, long now) {
        answers.add(new AttemptId(1, number, 1), bytes, now, () -> forgotten.add(number));
    }

    // Guards against the answers of ended calls filling the heap.
    @Test
    void beyondTheLimitTheOldestAnswersAreForgotten() {
        for (int i = 0; i < 4; i++) {
            add(i, SMALL_BYTES, i);
        }
        assertThat(forgotten).containsExactly(0, 1);
        assertThat(reached).containsExactly("kept-answers", "kept-answers");
    }

    // Guards against the large answers of some callers taking the small ones of others.
    @Test
    void largeAnswersAreForgottenBeforeSmallOnes() {
        add(0, SMALL_BYTES, 0);
        add(1, LARGE_BYTES, 1);
        add(2, SMALL_BYTES, 2);
        assertThat(forgotten).containsExactly(1);
    }

    // Guards against answers that nobody can ask for any more counting against the limit.
    @Test
    void answersBeyondTheirRetentionDoNotCount() {
        add(0, SMALL_BYTES, 0);
        add(1, SMALL_BYTES, 0);
        add(2, SMALL_BYTES, RETENTION.toNanos() + 1);
        add(3, SMALL_BYTES, RETENTION.toNanos() + 1);
        assertThat(forgotten).isEmpty();
    }
}
