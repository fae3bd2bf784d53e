package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PermitScheduleTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    private static PermitSchedule of(double limit) {
        return new PermitSchedule(limit, 1, 0, 0);
    }

    @Test
    void requestsThatCanWaitAreSpacedAtTheLimit() {
        PermitSchedule schedule = of(10);
        List<Long> waits = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            waits.add(TimeUnit.NANOSECONDS.toMillis(schedule.ask(1, SECOND, 0).waitNanos()));
        }
        assertThat(waits).containsExactly(0L, 105L, 210L, 315L);
    }

    @Test
    void onlyOneRequestIsSavedUp() {
        PermitSchedule schedule = of(10);
        long muchLater = 60 * SECOND;
        assertThat(schedule.ask(1, 0, muchLater).isGranted()).isTrue();
        assertThat(schedule.ask(1, 0, muchLater).isGranted()).isTrue();
        assertThat(schedule.ask(1, 0, muchLater).isGranted()).isFalse();
    }

    @Test
    void requestsThatAreSentTogetherCountEach() {
        PermitSchedule schedule = of(10);
        assertThat(schedule.ask(2, 0, 0).isGranted()).isTrue();
        assertThat(schedule.ask(1, 200 * MILLI, 0).isGranted()).isFalse();
        assertThat(schedule.ask(1, 211 * MILLI, 0).isGranted()).isTrue();
    }

    @Test
    void thoseThatAreRefusedAreToldToReturnOneAfterTheOther() {
        PermitSchedule schedule = of(10);
        schedule.ask(1, 0, 0);
        List<Long> told = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            assertThat(schedule.ask(1, 0, 0).isGranted()).isFalse();
            Permit permit = schedule.askReturn(1, 0, 0);
            assertThat(permit.isGranted()).isFalse();
            told.add(TimeUnit.NANOSECONDS.toMillis(permit.waitNanos()));
        }
        assertThat(told).containsExactly(210L, 342L, 473L);
        for (long millis : told) {
            assertThat(schedule.ask(1, 0, (millis + 1) * MILLI).isGranted()).isTrue();
        }
    }

    @Test
    void anEndpointThatStatesZeroGetsARequestNowAndThen() {
        PermitSchedule schedule = of(0);
        assertThat(schedule.ask(1, 0, 0).isGranted()).isTrue();
        assertThat(schedule.ask(1, 0, 3 * SECOND).isGranted()).isFalse();
        assertThat(schedule.ask(1, 0, 5 * SECOND).isGranted()).isTrue();
    }

    @Test
    void aHigherLimitBringsTheNextRequestsForward() {
        PermitSchedule schedule = of(0.5);
        schedule.ask(1, 0, 0);
        schedule.update(50, 1, 0);
        assertThat(schedule.ask(1, 0, 30 * MILLI).isGranted()).isTrue();
    }

    // Guards against a limit that holds on average only.
    @Test
    void noWindowOfFourSecondsHasMoreThanTheLimitAndTwo() {
        for (double limit : new double[] {0.01, 0.3, 2.7, 4.7, 40, 500}) {
            PermitSchedule schedule = of(limit);
            List<Long> sent = new ArrayList<>();
            long stepNanos = (long) (SECOND / (20 * Math.max(1, limit)));
            for (long now = 0; now < 30 * SECOND; now += stepNanos) {
                Permit permit = schedule.ask(1, now % (7 * SECOND) > 5 * SECOND ? 0 : SECOND / 3, now);
                if (permit.isGranted()) {
                    sent.add(now + permit.waitNanos());
                }
            }
            for (int i = 0; i < sent.size(); i++) {
                long from = sent.get(i);
                long inWindow = sent.stream()
                        .filter(at -> at >= from && at < from + 4 * SECOND)
                        .count();
                assertThat(inWindow).as("limit %s", limit).isLessThanOrEqualTo((long) Math.max(1, 4 * limit) + 2);
            }
        }
    }
}
