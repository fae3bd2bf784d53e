package org.quetzalseam.core.access;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays entries that share a team's allowance while they are cut off, paused, restarted, added and removed. */
class AllowanceSimulationTest {
    @ParameterizedTest(name = "seed {0}")
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void noWindowExceedsTheAllowanceWhateverHappensToTheEntries(long seed) {
        AllowanceSimulation played = AllowanceSimulation.withFaults(seed, AllowanceSimulation.Split.LENT);
        assertThat(played.largestWindow()).isLessThanOrEqualTo(played.mostPerWindow());
    }

    // Shows that the check finds a split that exceeds the allowance.
    @Test
    void theWholeRateAtEachEntryExceedsTheAllowance() {
        AllowanceSimulation played = AllowanceSimulation.withFaults(1, AllowanceSimulation.Split.WHOLE_AT_EACH);
        assertThat(played.largestWindow()).isGreaterThan(played.mostPerWindow());
    }

    // Guards against a team that calls through a few of many entries being limited to their parts of its allowance.
    @Test
    void aTeamThatMeetsFewEntriesUsesTheWholeAllowance() {
        AllowanceSimulation lent = AllowanceSimulation.fewEntries(AllowanceSimulation.Split.LENT);
        AllowanceSimulation divided = AllowanceSimulation.fewEntries(AllowanceSimulation.Split.DIVIDED);
        assertThat(lent.admittedShare()).isGreaterThan(0.97);
        assertThat(divided.admittedShare()).as("without loans").isLessThan(0.5);
    }
}
