package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PermitSimulationTest {
    private static final double LIMIT = 2.7;
    /** Requests a second that callers send, many times the limit. */
    private static final double DEMAND = 60;

    private static final long MAX_WAIT_NANOS = 400 * PermitSimulation.MILLI;
    private static final long RUN_NANOS = 60 * PermitSimulation.SECOND;
    private static final int SEEDS = 5;

    private static int allowed() {
        return (int) (LIMIT * 4 * 1.5 + 5);
    }

    private interface Disruption {
        void prepare(PermitSimulation simulation);
    }

    /** Runs the entries with several seeds; the endpoint must get no more than it bears, and at least a part of that. */
    private static void assertBorne(int entries, double crowdedShare, double usedShare, Disruption disruption) {
        for (int seed = 0; seed < SEEDS; seed++) {
            PermitSimulation simulation = new PermitSimulation(seed, entries, LIMIT, MAX_WAIT_NANOS);
            simulation.demand(DEMAND, crowdedShare);
            disruption.prepare(simulation);
            simulation.run(RUN_NANOS);
            assertThat(simulation.mostInWindow())
                    .as("requests in 4 s, %s entries, seed %s", entries, seed)
                    .isLessThanOrEqualTo(allowed());
            assertThat(simulation.perSecond())
                    .as("requests a second, %s entries, seed %s", entries, seed)
                    .isBetween(usedShare * LIMIT, LIMIT);
        }
    }

    // Guards against parts of a limit that grow with the number of entries, or are of no use to any of them.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4, 12, 40, 400})
    void aLimitIsUsedAndNotExceededHoweverManyEntriesThereAre(int entries) {
        assertBorne(entries, 0, 0.9, simulation -> {});
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 40, 400})
    void aLimitIsUsedThoughNearlyAllRequestsComeToOneEntry(int entries) {
        assertBorne(entries, 0.95, 0.9, simulation -> {});
    }

    // Guards against two entries that decide at the same time while one restarts.
    @ParameterizedTest
    @ValueSource(ints = {2, 4, 40, 400})
    void aLimitHoldsThoughTheEntryThatDecidesRestartsAgainAndAgain(int entries) {
        assertBorne(entries, 0, 0.3, simulation -> {
            PermitSimulation.Entry issuer = simulation.issuer();
            for (int i = 0; i < 5; i++) {
                long at = (5 + 10 * i) * PermitSimulation.SECOND;
                simulation.after(at, issuer::kill);
                simulation.after(at + 3 * PermitSimulation.SECOND, issuer::start);
            }
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {4, 40, 400})
    void aLimitIsUsedAgainOnceTheEntryThatDecidedIsGoneForLong(int entries) {
        assertBorne(
                entries,
                0,
                0.7,
                simulation -> simulation.after(5 * PermitSimulation.SECOND, simulation.issuer()::kill));
    }

    // Guards against permits that a paused entry saves up, or gives away when it goes on.
    @ParameterizedTest
    @ValueSource(ints = {2, 4, 40, 400})
    void aLimitHoldsThoughTheEntryThatDecidesIsFrozenForAWhile(int entries) {
        assertBorne(entries, 0, 0.3, simulation -> {
            PermitSimulation.Entry issuer = simulation.issuer();
            for (int i = 0; i < 4; i++) {
                long forNanos = (1 + 4 * i) * PermitSimulation.SECOND;
                simulation.after((5 + 14 * i) * PermitSimulation.SECOND, () -> issuer.freeze(forNanos));
            }
        });
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 4, 40, 400})
    void aLimitHoldsThoughTheEntryThatDecidesIsCutOff(int entries) {
        assertBorne(entries, 0, 0.3, simulation -> {
            PermitSimulation.Entry issuer = simulation.issuer();
            simulation.after(5 * PermitSimulation.SECOND, () -> issuer.cut(true));
            simulation.after(12 * PermitSimulation.SECOND, () -> issuer.cut(false));
            simulation.after(20 * PermitSimulation.SECOND, () -> issuer.cut(true));
            simulation.after(45 * PermitSimulation.SECOND, () -> issuer.cut(false));
        });
    }

    // Guards against new entries that decide for those that know them while older ones decide for those that don't.
    @ParameterizedTest
    @ValueSource(ints = {2, 4, 40, 400})
    void aLimitHoldsThoughEntriesJoinThatOthersKnowOnlyLater(int entries) {
        assertBorne(entries, 0, 0.9, simulation -> {
            for (int i = 0; i < 8; i++) {
                String name = "joined-" + i;
                simulation.after((4 + 6 * i) * PermitSimulation.SECOND, () -> {
                    PermitSimulation.Entry added = simulation.join(name);
                    for (int j = 0; j < entries; j++) {
                        simulation.after((1 + j % 5) * PermitSimulation.SECOND, simulation.entry(j)::list);
                    }
                    simulation.after(20 * PermitSimulation.SECOND, added::known);
                });
            }
        });
    }

    // Guards against a limit that is not used at all because no entry is known to all others.
    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4, 40})
    void aLimitIsUsedThoughAllEntriesAreNew(int entries) {
        assertBorne(entries, 0, 0.4, simulation -> simulation.allNew());
    }
}
