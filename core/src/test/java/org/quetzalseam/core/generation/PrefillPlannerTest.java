package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PrefillPlannerTest {
    private static final int TOKENS = 5_000;
    private static final double OBJECTIVE_MILLIS = 900;
    private static final PrefillPlanner.Deadline IN_TIME =
            new PrefillPlanner.Deadline(OBJECTIVE_MILLIS, 14_000, OBJECTIVE_MILLIS);
    private static final PrefillPlanner.Deadline LATE = new PrefillPlanner.Deadline(-100, 10_000, OBJECTIVE_MILLIS);
    private static final List<String> ENGINES = List.of("a", "b");

    private final PrefillPlanner<String> planner = new PrefillPlanner<>();
    private long now = 1;

    private void pass(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private PrefillPlanner<String>.Prefill begin(String engine) {
        return planner.begin(engine, TOKENS, now, OBJECTIVE_MILLIS);
    }

    private void prefill(String engine, long millis, int times) {
        for (int i = 0; i < times; i++) {
            PrefillPlanner<String>.Prefill prefill = begin(engine);
            pass(millis);
            prefill.completed(now, (double) millis, OBJECTIVE_MILLIS);
        }
    }

    private String selectEngine() {
        return planner.selectEngine(ENGINES, TOKENS, now, Comparator.naturalOrder())
                .orElseThrow();
    }

    private boolean begins(String engine, PrefillPlanner.Deadline deadline) {
        return planner.judge(engine, ENGINES.size(), TOKENS, deadline, now) == PrefillPlanner.Verdict.BEGIN;
    }

    /** A prefill takes about a tenth of the objective, so that most prefills can be in time. */
    @ParameterizedTest(name = "load {0}, interleaved {1}")
    @CsvSource({"2, true", "2, false", "4, true", "4, false"})
    void underOverloadMostOfThePoolsCapacityPrefillsPromptsInTime(double load, boolean interleaved) {
        for (long seed = 1; seed <= 5; seed++) {
            PrefillSimulation.Result result =
                    new PrefillSimulation(PlannerEntry::new, 5, 3, 55, interleaved, seed).run(load, load, 0, 30_000);
            assertThat(result.inTime()).as("seed %d: %s", seed, result).isGreaterThan(0.55);
            assertThat(result.inTime() + result.late())
                    .as("seed %d: %s", seed, result)
                    .isGreaterThan(0.7);
        }
    }

    /**
     * A prefill takes two fifths of the objective or more: at full load many are late, but prompts that are begun are
     * answered.
     */
    @ParameterizedTest(name = "load {0}, {1} tokens per ms, interleaved {2}")
    @CsvSource({
        "2, 14, true", "2, 14, false", "4, 14, true", "4, 14, false",
        "2, 3.5, true", "2, 3.5, false", "4, 3.5, true", "4, 3.5, false"
    })
    void atSlowEnginesTooMostOfThePoolsCapacityIsNotWasted(double load, double pace, boolean interleaved) {
        for (long seed = 1; seed <= 5; seed++) {
            PrefillSimulation.Result result =
                    new PrefillSimulation(PlannerEntry::new, 5, 3, pace, interleaved, seed).run(load, load, 0, 30_000);
            assertThat(result.inTime() + result.late())
                    .as("seed %d: %s", seed, result)
                    .isGreaterThan(0.55);
        }
    }

    @ParameterizedTest(name = "interleaved {0}")
    @CsvSource({"true", "false"})
    void onceTheOverloadIsOverNearlyAllIsPrefilledInTime(boolean interleaved) {
        for (long seed = 1; seed <= 5; seed++) {
            double calm = 0.6;
            PrefillSimulation.Result all =
                    new PrefillSimulation(PlannerEntry::new, 5, 3, 55, interleaved, seed).run(4, calm, 10_000, 30_000);
            PrefillSimulation.Result busy =
                    new PrefillSimulation(PlannerEntry::new, 5, 3, 55, interleaved, seed).run(4, calm, 10_000, 10_000);
            double inTime = all.inTime() * 30 - busy.inTime() * 10;
            double total = all.total() * 30 - busy.total() * 10;
            assertThat(inTime / total).as("seed %d", seed).isGreaterThan(0.9);
        }
    }

    /**
     * Shows the failure that the planner prevents: with a fixed timeout, most of what the engines prefill under overload
     * is wasted.
     */
    @Test
    void aFixedTimeoutWastesMostOfTheEnginesWork() {
        PrefillSimulation.Result result =
                new PrefillSimulation(FixedTimeoutEntry::new, 5, 3, 55, true, 1).run(2, 2, 0, 30_000);
        assertThat(result.total()).isGreaterThan(0.9);
        assertThat(result.inTime() + result.late()).isLessThan(0.2);
    }

    @Test
    void aPromptGoesToTheEngineThatIsPredictedToPrefillItFirst() {
        prefill("a", 400, 5);
        prefill("b", 50, 5);
        assertThat(selectEngine()).isEqualTo("b");
        begin("b");
        assertThat(selectEngine()).as("one ahead at the faster engine").isEqualTo("b");
        for (int i = 0; i < 10; i++) {
            begin("b");
        }
        assertThat(selectEngine()).as("many ahead at the faster engine").isEqualTo("a");
    }

    @Test
    void anEngineWhoseAnswersShowABacklogOfOtherEntriesIsAvoided() {
        prefill("a", 90, 5);
        prefill("b", 90, 5);
        prefill("a", 700, 1);
        assertThat(selectEngine()).isEqualTo("b");
        pass(10_000);
        assertThat(planner.predictCompletionMillis("a", TOKENS, now))
                .as("an old observation decays")
                .isLessThan(200);
    }

    @Test
    void aPromptThatCannotBeInTimeIsNotBegunBehindALongQueue() {
        prefill("a", 90, 20);
        assertThat(begins("a", IN_TIME)).isTrue();
        assertThat(begins("a", LATE)).as("late, nothing waits").isTrue();
        for (int i = 0; i < 12; i++) {
            begin("a");
        }
        assertThat(begins("a", IN_TIME)).isFalse();
        assertThat(begins("a", LATE)).isFalse();
        assertThat(planner.retryAfterMillis("a", OBJECTIVE_MILLIS, now)).isBetween(500.0, 1_200.0);
    }

    @Test
    void afterAStallPromptsAreRefusedForNoLongerThanItsQueueTakes() {
        prefill("a", 90, 20);
        prefill("a", 5_000, 1);
        assertThat(begins("a", IN_TIME)).as("right after it").isFalse();
        pass(2_400);
        assertThat(begins("a", IN_TIME)).isTrue();
    }

    @Test
    void aPromptThatTakesLongerThanTheObjectiveIsBegunWhereNothingWaits() {
        prefill("a", 2_000, 100);
        pass(20_000);
        assertThat(begins("a", IN_TIME)).isTrue();
        assertThat(begins("a", new PrefillPlanner.Deadline(OBJECTIVE_MILLIS, 1_500, OBJECTIVE_MILLIS)))
                .as("its caller stops waiting before")
                .isFalse();
    }

    @Test
    void aSlowPrefillIsNotRetriedWhileItsEngineAnswersOthers() {
        prefill("a", 90, 20);
        prefill("b", 90, 20);
        PrefillPlanner<String>.Prefill slow = begin("a");
        for (int i = 0; i < 20; i++) {
            prefill("a", 300, 1);
            prefill("b", 90, 1);
            assertThat(slow.shouldRetryElsewhere(ENGINES, false, now))
                    .as("after %d", i)
                    .isFalse();
        }
    }

    @Test
    void anUnresponsiveEngineIsReplacedSoonerByOneThatHasAnsweredMeanwhile() {
        prefill("a", 90, 20);
        prefill("b", 90, 20);
        PrefillPlanner<String>.Prefill stuck = begin("a");
        long limitMillis = Math.round(stuck.unresponsiveLimitMillis());
        pass(limitMillis * 2 / 5);
        assertThat(stuck.shouldRetryElsewhere(ENGINES, true, now))
                .as("no other has answered")
                .isFalse();
        prefill("b", 90, 1);
        assertThat(stuck.shouldRetryElsewhere(ENGINES, false, now)).as("early").isFalse();
        assertThat(stuck.shouldRetryElsewhere(ENGINES, true, now))
                .as("early, and it is no longer listed")
                .isTrue();
        pass(limitMillis);
        assertThat(stuck.shouldRetryElsewhere(ENGINES, false, now)).isTrue();
        assertThat(stuck.shouldRetryElsewhere(List.of("a"), false, now))
                .as("there is no other")
                .isFalse();
    }

    @Test
    void anUnresponsiveEngineIsReplacedAfterTwiceTheLimitWhereNoOtherWasAsked() {
        prefill("a", 90, 20);
        prefill("b", 90, 20);
        PrefillPlanner<String>.Prefill stuck = begin("a");
        long limitMillis = Math.round(stuck.unresponsiveLimitMillis());
        pass(limitMillis + 50);
        assertThat(stuck.shouldRetryElsewhere(ENGINES, false, now)).isFalse();
        pass(limitMillis);
        assertThat(stuck.shouldRetryElsewhere(ENGINES, false, now)).isTrue();
    }
}
