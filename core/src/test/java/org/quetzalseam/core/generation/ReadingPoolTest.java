package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ReadingPoolTest {
    private static final int TOKENS = 5_000;
    private static final double OBJECTIVE = 900;
    private static final ReadingPool.Due IN_TIME = new ReadingPool.Due(OBJECTIVE, 14_000, OBJECTIVE);
    private static final ReadingPool.Due LATE = new ReadingPool.Due(-100, 10_000, OBJECTIVE);
    private static final List<String> ENGINES = List.of("a", "b");

    private final ReadingPool<String> pool = new ReadingPool<>();
    private long now = 1;

    private void pass(long millis) {
        now += TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private ReadingPool<String>.Reading begin(String engine) {
        return pool.begin(engine, TOKENS, now, OBJECTIVE);
    }

    private void reads(String engine, long millis, int times) {
        for (int i = 0; i < times; i++) {
            ReadingPool<String>.Reading reading = begin(engine);
            pass(millis);
            reading.read(now, (double) millis, OBJECTIVE);
        }
    }

    private String best() {
        return pool.best(ENGINES, TOKENS, now, Comparator.naturalOrder()).orElseThrow();
    }

    private boolean worthwhile(String engine, ReadingPool.Due due) {
        return pool.judge(engine, ENGINES.size(), TOKENS, due, now) == ReadingPool.Verdict.BEGIN;
    }

    /** A reading takes about a tenth of the objective: most of what is read can be in time. */
    @ParameterizedTest(name = "load {0}, in turns {1}")
    @CsvSource({"2, true", "2, false", "4, true", "4, false"})
    void underMoreThanThePoolCanReadMostOfItsCapacityIsReadInTime(double load, boolean turns) {
        for (long seed = 1; seed <= 5; seed++) {
            ReadingDay.Result day = new ReadingDay(PoolEntry::new, 5, 3, 55, turns, seed).play(load, load, 0, 30_000);
            assertThat(day.inTime()).as("seed %d: %s", seed, day).isGreaterThan(0.55);
            assertThat(day.inTime() + day.late()).as("seed %d: %s", seed, day).isGreaterThan(0.7);
        }
    }

    /** A reading takes two fifths of the objective and more: at full use many are late, but whoever is begun is answered. */
    @ParameterizedTest(name = "load {0}, {1} tokens a ms, in turns {2}")
    @CsvSource({
        "2, 14, true", "2, 14, false", "4, 14, true", "4, 14, false",
        "2, 3.5, true", "2, 3.5, false", "4, 3.5, true", "4, 3.5, false"
    })
    void atSlowEnginesTooMostOfThePoolsCapacityIsReadForSomebody(double load, double pace, boolean turns) {
        for (long seed = 1; seed <= 5; seed++) {
            ReadingDay.Result day = new ReadingDay(PoolEntry::new, 5, 3, pace, turns, seed).play(load, load, 0, 30_000);
            assertThat(day.inTime() + day.late()).as("seed %d: %s", seed, day).isGreaterThan(0.55);
        }
    }

    @ParameterizedTest(name = "in turns {0}")
    @CsvSource({"true", "false"})
    void onceTheOverloadIsOverNearlyAllIsReadInTime(boolean turns) {
        for (long seed = 1; seed <= 5; seed++) {
            double calm = 0.6;
            ReadingDay.Result all = new ReadingDay(PoolEntry::new, 5, 3, 55, turns, seed).play(4, calm, 10_000, 30_000);
            ReadingDay.Result busy =
                    new ReadingDay(PoolEntry::new, 5, 3, 55, turns, seed).play(4, calm, 10_000, 10_000);
            double since = all.inTime() * 30 - busy.inTime() * 10;
            double given = all.given() * 30 - busy.given() * 10;
            assertThat(since / given).as("seed %d", seed).isGreaterThan(0.9);
        }
    }

    /** Keeps in view what the pool is there for. */
    @Test
    void aFixedLimitMakesEnginesReadForNobody() {
        ReadingDay.Result day = new ReadingDay(FixedLimitEntry::new, 5, 3, 55, true, 1).play(2, 2, 0, 30_000);
        assertThat(day.given()).isGreaterThan(0.9);
        assertThat(day.inTime() + day.late()).isLessThan(0.2);
    }

    @Test
    void aPromptGoesWhereItIsReadFirst() {
        reads("a", 400, 5);
        reads("b", 50, 5);
        assertThat(best()).isEqualTo("b");
        begin("b");
        assertThat(best()).as("one ahead at the faster engine").isEqualTo("b");
        for (int i = 0; i < 10; i++) {
            begin("b");
        }
        assertThat(best()).as("many ahead at the faster engine").isEqualTo("a");
    }

    @Test
    void anEngineWhoseAnswersTellOfOthersPromptsIsAvoided() {
        reads("a", 90, 5);
        reads("b", 90, 5);
        reads("a", 700, 1);
        assertThat(best()).isEqualTo("b");
        pass(10_000);
        assertThat(pool.endMillis("a", TOKENS, now)).as("old news fades").isLessThan(200);
    }

    @Test
    void whatCannotBeInTimeIsNotBegunBehindALongQueue() {
        reads("a", 90, 20);
        assertThat(worthwhile("a", IN_TIME)).isTrue();
        assertThat(worthwhile("a", LATE)).as("late, nothing waits").isTrue();
        for (int i = 0; i < 12; i++) {
            begin("a");
        }
        assertThat(worthwhile("a", IN_TIME)).isFalse();
        assertThat(worthwhile("a", LATE)).isFalse();
        assertThat(pool.comeBackMillis("a", OBJECTIVE, now)).isBetween(500.0, 1_200.0);
    }

    @Test
    void aStallThatIsOverKeepsPromptsOutForNoLongerThanItsQueueTakes() {
        reads("a", 90, 20);
        reads("a", 5_000, 1);
        assertThat(worthwhile("a", IN_TIME)).as("right after it").isFalse();
        pass(2_400);
        assertThat(worthwhile("a", IN_TIME)).isTrue();
    }

    @Test
    void whatTakesLongerThanTheObjectiveByItselfIsBegunWhereNothingWaits() {
        reads("a", 2_000, 100);
        pass(20_000);
        assertThat(worthwhile("a", IN_TIME)).isTrue();
        assertThat(worthwhile("a", new ReadingPool.Due(OBJECTIVE, 1_500, OBJECTIVE)))
                .as("its caller leaves before")
                .isFalse();
    }

    @Test
    void aSlowReadingIsWaitedForWhileItsEngineAnswersOthers() {
        reads("a", 90, 20);
        reads("b", 90, 20);
        ReadingPool<String>.Reading slow = begin("a");
        for (int i = 0; i < 20; i++) {
            reads("a", 300, 1);
            reads("b", 90, 1);
            assertThat(slow.lost(ENGINES, false, now)).as("after %d", i).isFalse();
        }
    }

    @Test
    void aSilentEngineIsLeftSoonerForOneThatHasAnsweredMeanwhile() {
        reads("a", 90, 20);
        reads("b", 90, 20);
        ReadingPool<String>.Reading dead = begin("a");
        long limit = Math.round(dead.silenceMillis());
        pass(limit * 2 / 5);
        assertThat(dead.lost(ENGINES, true, now)).as("no other has answered").isFalse();
        reads("b", 90, 1);
        assertThat(dead.lost(ENGINES, false, now)).as("early").isFalse();
        assertThat(dead.lost(ENGINES, true, now))
                .as("early, and it isn't listed any more")
                .isTrue();
        pass(limit);
        assertThat(dead.lost(ENGINES, false, now)).isTrue();
        assertThat(dead.lost(List.of("a"), false, now)).as("there is no other").isFalse();
    }

    @Test
    void aSilentEngineIsLeftInTheEndWhereNothingElseWasAsked() {
        reads("a", 90, 20);
        reads("b", 90, 20);
        ReadingPool<String>.Reading dead = begin("a");
        long limit = Math.round(dead.silenceMillis());
        pass(limit + 50);
        assertThat(dead.lost(ENGINES, false, now)).isFalse();
        pass(limit);
        assertThat(dead.lost(ENGINES, false, now)).isTrue();
    }
}
