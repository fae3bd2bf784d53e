package org.quetzalseam.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.attempt.AttemptId;

class WorkQueueTest {
    private final WorkQueue queue = WorkQueue.fair();
    private long counter;

    private QueuedAttempt attempt(String owner, WorkClass workClass, int weight, long cost) {
        return new QueuedAttempt(
                new AttemptId(1, ++counter, 1), owner, owner + "-entry", workClass, weight, cost, 1000);
    }

    private List<String> pollOwners() {
        List<String> owners = new ArrayList<>();
        Optional<QueuedAttempt> next = queue.poll(attempt -> true);
        while (next.isPresent()) {
            owners.add(next.get().owner());
            next = queue.poll(attempt -> true);
        }
        return owners;
    }

    @Test
    void ownersOfEqualWeightAreServedInTurnHoweverManyRequestsTheySend() {
        for (int i = 0; i < 6; i++) {
            queue.add(attempt("flood", WorkClass.LONG, 1, 10));
        }
        queue.add(attempt("quiet", WorkClass.LONG, 1, 10));
        assertThat(pollOwners().indexOf("quiet")).isLessThanOrEqualTo(1);
    }

    @Test
    void anOwnerOfTwiceTheWeightIsServedTwiceAsOften() {
        for (int i = 0; i < 6; i++) {
            queue.add(attempt("heavy", WorkClass.LONG, 2, 10));
            queue.add(attempt("light", WorkClass.LONG, 1, 10));
        }
        assertThat(pollOwners().subList(0, 6)).filteredOn("heavy"::equals).hasSize(4);
    }

    @Test
    void shortWorkGoesBeforeLongWork() {
        queue.add(attempt("a", WorkClass.LONG, 1, 1));
        queue.add(attempt("b", WorkClass.SHORT, 1, 1));
        assertThat(pollOwners()).containsExactly("b", "a");
    }

    @Test
    void longWorkIsNotStarvedByShortWork() {
        queue.add(attempt("long", WorkClass.LONG, 1, 1));
        for (int i = 0; i < 3 * FairQueue.MAX_CONSECUTIVE_SHORT; i++) {
            queue.add(attempt("short", WorkClass.SHORT, 1, 1));
        }
        assertThat(pollOwners().indexOf("long")).isEqualTo(FairQueue.MAX_CONSECUTIVE_SHORT);
    }

    @Test
    void requestsOfOneOwnerAndClassKeepTheirOrder() {
        List<AttemptId> queued = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            QueuedAttempt attempt = attempt("a", WorkClass.LONG, 1, 10 - i);
            queued.add(attempt.id());
            queue.add(attempt);
        }
        List<AttemptId> served = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            served.add(queue.poll(attempt -> true).orElseThrow().id());
        }
        assertThat(served).isEqualTo(queued);
    }

    @Test
    void anAttemptThatCannotStartDoesNotBlockOtherClasses() {
        queue.add(attempt("a", WorkClass.SHORT, 1, 1));
        queue.add(attempt("b", WorkClass.LONG, 1, 1));
        assertThat(queue.poll(attempt -> attempt.workClass() == WorkClass.LONG))
                .get()
                .extracting(QueuedAttempt::owner)
                .isEqualTo("b");
    }

    @Test
    void removedAndExpiredAttemptsAreNoLongerCounted() {
        QueuedAttempt removed = attempt("a", WorkClass.SHORT, 1, 5);
        queue.add(removed);
        queue.add(attempt("a", WorkClass.LONG, 1, 7));
        assertThat(queue.remove(removed.id())).isTrue();
        assertThat(queue.remove(removed.id())).isFalse();
        assertThat(queue.expire(1001)).hasSize(1);
        assertThat(queue.size()).isZero();
        assertThat(queue.costAhead(WorkClass.LONG)).isZero();
        assertThat(queue.waiting("a-entry")).isZero();
    }

    @Test
    void theBaselineServesInOrderOfArrival() {
        WorkQueue fifo = WorkQueue.fifo();
        fifo.add(attempt("a", WorkClass.LONG, 1, 1));
        fifo.add(attempt("b", WorkClass.SHORT, 1, 1));
        assertThat(fifo.poll(attempt -> attempt.workClass() == WorkClass.SHORT)).isEmpty();
        assertThat(fifo.poll(attempt -> true))
                .get()
                .extracting(QueuedAttempt::owner)
                .isEqualTo("a");
    }
}
