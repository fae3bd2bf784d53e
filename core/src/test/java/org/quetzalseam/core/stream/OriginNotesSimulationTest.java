package org.quetzalseam.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Locale;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how many streams go on after kills of all entries, and that none is joined, over random histories. */
class OriginNotesSimulationTest {
    private static final int HISTORIES = 100;
    private static final long SECONDS = 200;

    private static String figures(OriginNotesSimulation site, long seconds) {
        return String.format(
                Locale.ROOT,
                "taken up %d, went on %d (%.3f), joined %d, %.1f batches a second of %.0f streams",
                site.takenUp,
                site.wentOn,
                (double) site.wentOn / site.takenUp,
                site.joined,
                (double) site.batches / seconds,
                (double) site.noted / Math.max(1, site.batches));
    }

    // Guards against any stream with events of two builds, whatever the store, the builds and the entries do.
    @Test
    void noStreamIsJoinedInAnyHistory() {
        int takenUp = 0;
        int wentOn = 0;
        for (int seed = 1; seed <= HISTORIES; seed++) {
            OriginNotesSimulation site = new OriginNotesSimulation(seed, 4, true);
            site.run(SECONDS, 2);
            assertThat(site.joined).as("seed " + seed).isZero();
            takenUp += site.takenUp;
            wentOn += site.wentOn;
        }
        System.out.println("hard histories: " + wentOn + " of " + takenUp + " went on");
        assertThat(wentOn).isPositive();
    }

    // Guards against fewer than half of the streams going on where the store is there, at sites of each size.
    @ParameterizedTest
    @CsvSource({"4,5", "40,5", "400,5"})
    void moreThanHalfOfTheStreamsGoOnWhileTheStoreIsThere(int entries, double streamsPerSecond) {
        OriginNotesSimulation site = new OriginNotesSimulation(7, entries, false);
        long seconds = 100;
        site.run(seconds, streamsPerSecond);
        System.out.println(entries + " entries: " + figures(site, seconds));
        assertThat(site.joined).isZero();
        assertThat(site.wentOn).as(figures(site, seconds)).isGreaterThan(site.takenUp / 2);
    }
}
