package org.quetzalseam.core.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class GracePeriodTest {
    private static final long BEGUN_NANOS = 1_000_000_000L;

    private final GracePeriod grace = new GracePeriod(BEGUN_NANOS, TimeUnit.SECONDS.toNanos(8), 0, 1);

    private static long after(long millis) {
        return BEGUN_NANOS + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    @Test
    void aRequestThatEndsInTheRemainingTimeIsAcceptedHoweverLate() {
        assertThat(grace.accept(after(0), 7_600)).isTrue();
        assertThat(grace.accept(after(7_000), 500)).isTrue();
    }

    @Test
    void aRequestThatOutlastsTheRemainingTimeIsRefusedHoweverEarly() {
        assertThat(grace.accept(after(0), 7_601)).isFalse();
        assertThat(grace.accept(after(3_020), 4_600)).isFalse();
        assertThat(grace.accept(after(7_000), 700)).isFalse();
    }

    @Test
    void aRequestOfUnknownDurationIsRefused() {
        assertThat(grace.accept(after(0), Long.MAX_VALUE)).isFalse();
    }

    // Guards against a late request being taken because it is expected to be quick, and cut because it is not.
    @Test
    void aLateRequestMustEndInTimeByItsLimit() {
        assertThat(grace.endsForCertain(after(2_400), after(2_400), 60_000)).isTrue();
        assertThat(grace.endsForCertain(after(3_000), after(3_000), 4_600)).isTrue();
        assertThat(grace.endsForCertain(after(3_000), after(3_000), 4_601)).isFalse();
        assertThat(grace.endsForCertain(after(7_500), after(7_500), 200)).isFalse();
    }

    // Guards against a bound that a caller's request can cross on its way, or because the signal was noticed late.
    @Test
    void aLimitIsAskedForBeforeTheBalancerMustHaveNoticed() {
        assertThat(grace.isNoticed(after(2_600))).isFalse();
        assertThat(grace.endsForCertain(after(2_600), after(2_600), 60_000)).isFalse();
    }

    // Guards against refusing what came early and waited, as its end may be cut.
    @Test
    void aRequestThatCameEarlyAndWaitedNeedNoLimit() {
        assertThat(grace.endsForCertain(after(2_400), after(4_000), 60_000)).isTrue();
    }

    @Test
    void moreDeviationsAreRequiredOnceTheBalancerMustHaveNoticed() {
        assertThat(grace.requiredDeviations(after(3_500))).isGreaterThan(grace.requiredDeviations(after(500)));
    }

    @Test
    void refusedCallersAreSentElsewhereAtFirstAndLaterToTheSuccessor() {
        assertThat(grace.retryAfterMillis(after(500), 0.5)).isLessThan(300);
        assertThat(grace.retryAfterMillis(after(5_000), 0)).isGreaterThan(grace.remainingMillis(after(5_000)));
        assertThat(grace.retryAfterMillis(after(9_000), 0)).isPositive();
    }

    @Test
    void aCallerThatWouldBeAcceptedHereDoesNotWaitForTheSuccessor() {
        assertThat(grace.retryAfterMillis(after(5_000), 0, 300)).isEqualTo(300);
        assertThat(grace.retryAfterMillis(after(7_500), 0, 300)).isGreaterThan(1_000);
    }

    @Test
    void itEndsEarlyOnlyWhenNothingIsInProgressAndNoRequestsArrive() {
        assertThat(grace.mayEndEarly(after(2_000), 0))
                .as("callers may still be sent")
                .isFalse();
        assertThat(grace.mayEndEarly(after(3_500), 1))
                .as("a request is in progress")
                .isFalse();
        assertThat(grace.mayEndEarly(after(3_500), 0)).isTrue();
        grace.accept(after(3_400), 10);
        assertThat(grace.mayEndEarly(after(3_500), 0))
                .as("a request has just been accepted")
                .isFalse();
        assertThat(grace.mayEndEarly(after(4_500), 0)).isTrue();
    }

    @Test
    void callersWhoAreRefusedDoNotKeepItFromEnding() {
        grace.accept(after(3_400), 60_000);
        assertThat(grace.mayEndEarly(after(3_500), 0)).isTrue();
    }

    /**
     * Four processes that receive the signal at once: each stops accepting 1.15 s after the previous one, so that the
     * first has restarted before the last ends.
     */
    @Test
    void processesThatShutDownTogetherStopAcceptingOneAfterTheOther() {
        GracePeriod first = new GracePeriod(BEGUN_NANOS, TimeUnit.SECONDS.toNanos(8), 0, 4);
        GracePeriod last = new GracePeriod(BEGUN_NANOS, TimeUnit.SECONDS.toNanos(8), 3, 4);
        assertThat(first.remainingMillis(after(2_000)))
                .as("at first all accept what they can")
                .isEqualTo(5_600);
        assertThat(first.accept(after(4_000), 100)).isTrue();
        assertThat(first.accept(after(4_200), 100)).isFalse();
        assertThat(first.mayEndEarly(after(4_200), 0)).isTrue();
        assertThat(first.isOver(after(4_200)))
                .as("requests in progress may go on")
                .isFalse();
        assertThat(last.accept(after(7_400), 100)).isTrue();
        assertThat(last.mayEndEarly(after(7_500), 0)).isFalse();
    }

    @Test
    void aGracePeriodShorterThanTheBalancersNoticeIsNotShared() {
        GracePeriod shorter = new GracePeriod(BEGUN_NANOS, TimeUnit.SECONDS.toNanos(2), 0, 400);
        assertThat(shorter.accept(after(1_400), 100)).isTrue();
    }

    @Test
    void itIsOverBeforeTheProcessIsKilled() {
        assertThat(grace.isOver(after(7_500))).isFalse();
        assertThat(grace.isOver(after(7_600))).isTrue();
    }
}
