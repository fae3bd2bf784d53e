package org.quetzalseam.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class GracePeriodTest {
    private static final long BEGUN = 1_000_000_000L;

    private final GracePeriod grace = new GracePeriod(BEGUN, TimeUnit.SECONDS.toNanos(8), 0, 1);

    private static long after(long millis) {
        return BEGUN + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void whatEndsInTheTimeLeftIsTakenHoweverLateItComes() {
        assertThat(grace.take(after(0), 7_600)).isTrue();
        assertThat(grace.take(after(7_000), 500)).isTrue();
    }

    @Test
    void whatWouldOutlastTheTimeLeftIsNotTakenHoweverEarlyItComes() {
        assertThat(grace.take(after(0), 7_601)).isFalse();
        assertThat(grace.take(after(3_020), 4_600)).isFalse();
        assertThat(grace.take(after(7_000), 700)).isFalse();
    }

    @Test
    void whatNothingIsKnownOfIsNotTaken() {
        assertThat(grace.take(after(0), Long.MAX_VALUE)).isFalse();
    }

    @Test
    void theEndOfARequestHasToBeSurerOnceTheBalancerMustHaveNoticed() {
        assertThat(grace.certainty(after(3_500))).isGreaterThan(grace.certainty(after(500)));
    }

    @Test
    void whoIsRefusedAtFirstIsSentElsewhereAndLaterToTheSuccessor() {
        assertThat(grace.comeBackMillis(after(500), 0.5)).isLessThan(300);
        assertThat(grace.comeBackMillis(after(5_000), 0)).isGreaterThan(grace.leftMillis(after(5_000)));
        assertThat(grace.comeBackMillis(after(9_000), 0)).isPositive();
    }

    @Test
    void whoWouldBeTakenHereAgainNeedNotWaitForTheSuccessor() {
        assertThat(grace.comeBackMillis(after(5_000), 0, 300)).isEqualTo(300);
        assertThat(grace.comeBackMillis(after(7_500), 0, 300)).isGreaterThan(1_000);
    }

    @Test
    void itEndsEarlyOnlyWhenNothingIsUnderWayAndNobodyComesAnyMore() {
        assertThat(grace.mayEndEarly(after(2_000), 0))
                .as("callers may still be sent")
                .isFalse();
        assertThat(grace.mayEndEarly(after(3_500), 1))
                .as("something is under way")
                .isFalse();
        assertThat(grace.mayEndEarly(after(3_500), 0)).isTrue();
        grace.take(after(3_400), 10);
        assertThat(grace.mayEndEarly(after(3_500), 0))
                .as("somebody has just come")
                .isFalse();
        assertThat(grace.mayEndEarly(after(4_500), 0)).isTrue();
    }

    @Test
    void callersWhoAreRefusedDoNotKeepItFromEnding() {
        grace.take(after(3_400), 60_000);
        assertThat(grace.mayEndEarly(after(3_500), 0)).isTrue();
    }

    /** Four processes told to stop at once: each begins its end 1.15 s after the one before, so the first is back before the last goes. */
    @Test
    void processesThatLeaveTogetherGiveUpTakingOneAfterTheOther() {
        GracePeriod first = new GracePeriod(BEGUN, TimeUnit.SECONDS.toNanos(8), 0, 4);
        GracePeriod last = new GracePeriod(BEGUN, TimeUnit.SECONDS.toNanos(8), 3, 4);
        assertThat(first.leftMillis(after(2_000)))
                .as("at first all take what they can")
                .isEqualTo(5_600);
        assertThat(first.take(after(4_000), 100)).isTrue();
        assertThat(first.take(after(4_200), 100)).isFalse();
        assertThat(first.mayEndEarly(after(4_200), 0)).isTrue();
        assertThat(first.over(after(4_200))).as("what is under way may go on").isFalse();
        assertThat(last.take(after(7_400), 100)).isTrue();
        assertThat(last.mayEndEarly(after(7_500), 0)).isFalse();
    }

    @Test
    void aGracePeriodShorterThanTheBalancersNoticeIsNotShared() {
        GracePeriod shorter = new GracePeriod(BEGUN, TimeUnit.SECONDS.toNanos(2), 0, 400);
        assertThat(shorter.take(after(1_400), 100)).isTrue();
    }

    @Test
    void itIsOverBeforeTheProcessIsKilled() {
        assertThat(grace.over(after(7_500))).isFalse();
        assertThat(grace.over(after(7_600))).isTrue();
    }
}
