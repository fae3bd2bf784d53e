package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EndpointLimitTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final EndpointLimit limit = new EndpointLimit();

    @Test
    void anEndpointThatHasStatedNothingHasNoLimit() {
        assertThat(limit.limited()).isFalse();
        assertThat(limit.record(StatedLimit.NONE, true, 0)).isFalse();
    }

    @Test
    void aNewLimitReplacesTheOneBefore() {
        assertThat(limit.record(StatedLimit.of(4.7), true, SECOND)).isTrue();
        assertThat(limit.record(StatedLimit.of(4.7), true, 2 * SECOND)).isFalse();
        assertThat(limit.record(StatedLimit.of(0.5), false, 3 * SECOND)).isTrue();
        assertThat(limit.perSecond()).isEqualTo(0.5);
    }

    // Guards against a limit that is lifted and set again all the time, because an answer overtakes another one or
    // because
    // not all answers state it.
    @Test
    void oneAnswerThatStatesNoLimitAmongOthersThatDoLiftsNone() {
        limit.record(StatedLimit.of(4), true, SECOND);
        assertThat(limit.record(StatedLimit.NONE, true, SECOND + SECOND / 2)).isFalse();
        assertThat(limit.limited()).isTrue();
    }

    @Test
    void anAnswerLiftsALimitThatNoAnswerHasStatedForAWhile() {
        limit.record(StatedLimit.of(4), true, SECOND);
        assertThat(limit.record(StatedLimit.NONE, true, 2 * SECOND)).isTrue();
        assertThat(limit.limited()).isFalse();
    }

    @Test
    void anAnswerToACallThatDidNotRunLiftsNoLimit() {
        limit.record(StatedLimit.of(4), true, SECOND);
        assertThat(limit.record(StatedLimit.NONE, false, 30 * SECOND)).isFalse();
        assertThat(limit.limited()).isTrue();
    }

    @Test
    void aLimitOfZeroIsLiftedByTheAnswerToTheNextRequest() {
        limit.record(StatedLimit.of(0), true, SECOND);
        assertThat(limit.record(StatedLimit.NONE, true, 4 * SECOND)).isTrue();
    }

    @Test
    void anUnreadableLimitSetsNoneAndKeepsTheOneBeforeForAWhile() {
        assertThat(limit.record(StatedLimit.UNREADABLE, true, 0)).isFalse();
        limit.record(StatedLimit.of(4), true, SECOND);
        assertThat(limit.record(StatedLimit.UNREADABLE, true, 20 * SECOND)).isFalse();
        assertThat(limit.limited()).isTrue();
        assertThat(limit.record(StatedLimit.UNREADABLE, true, 32 * SECOND)).isTrue();
        assertThat(limit.limited()).isFalse();
    }

    @Test
    void whatAnotherEntryKnowsCountsIfItIsNewer() {
        limit.record(StatedLimit.of(4), true, 10 * SECOND);
        assertThat(limit.recordHeard(false, 0, 9 * SECOND)).isFalse();
        assertThat(limit.limited()).isTrue();
        assertThat(limit.recordHeard(true, 2, 11 * SECOND)).isTrue();
        assertThat(limit.perSecond()).isEqualTo(2);
        assertThat(limit.recordHeard(false, 0, 12 * SECOND)).isTrue();
        assertThat(limit.limited()).isFalse();
    }
}
