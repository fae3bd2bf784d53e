package org.quetzalseam.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashReport.Fact;

class CrashLedgerTest {
    private static final long KEEP = TimeUnit.MINUTES.toNanos(10);

    private static final long SUSPECT_KEEP = TimeUnit.HOURS.toNanos(1);

    private final CrashLedger ledger = new CrashLedger("a", KEEP, SUSPECT_KEEP);

    private static CrashReport lost(Fact... facts) {
        return new CrashReport(List.of(facts), List.of(), List.of());
    }

    @Test
    void aRequestIsSuspectAfterThreeCrashesWhicheverEntriesSawThem() {
        ledger.recordLost("r", "i-1", 0);
        ledger.learn(Map.of("b", lost(new Fact("r", "i-2"))), 0);
        assertThat(ledger.isSuspect("r", 0)).isFalse();
        ledger.learn(Map.of("c", lost(new Fact("r", "i-3"), new Fact("q", "i-3"))), 0);
        assertThat(ledger.isSuspect("r", 0)).isTrue();
        assertThat(ledger.isSuspect("q", 0)).isFalse();
        assertThat(ledger.reporters("r", 0)).containsExactly("a", "b", "c");
    }

    @Test
    void aCrashThatSeveralEntriesSawCountsOnce() {
        ledger.recordLost("r", "i-1", 0);
        ledger.recordLost("r", "i-1", 0);
        ledger.learn(Map.of("b", lost(new Fact("r", "i-1"), new Fact("r", "i-2"))), 0);
        ledger.learn(Map.of("c", lost(new Fact("r", "i-2"))), 0);
        assertThat(ledger.crashes("r", 0)).containsExactly("i-1", "i-2");
    }

    @Test
    void aRequestThatEndsDismissesTheCrashesKnownUntilThen() {
        ledger.recordLost("r", "i-1", 0);
        ledger.recordLost("r", "i-2", 0);
        assertThat(ledger.recordEnded("r", 0)).isEqualTo(2);
        long later = CrashLedger.RECENT_END_NANOS + 1;
        ledger.recordLost("r", "i-3", later);
        assertThat(ledger.crashes("r", later)).containsExactly("i-3");
        assertThat(ledger.recordEnded("r", later)).isEqualTo(1);
        assertThat(ledger.recordEnded("r", later)).isZero();
    }

    // Guards against a request that many callers send being quarantined because several endpoints crash together.
    @Test
    void aRequestThatEndedRecentlyDismissesCrashesThatAreLearntOfLater() {
        ledger.recordEnded("r", 0);
        ledger.recordLost("r", "i-1", CrashLedger.RECENT_END_NANOS);
        ledger.learn(Map.of("b", lost(new Fact("r", "i-2"), new Fact("r", "i-3"))), CrashLedger.RECENT_END_NANOS);
        assertThat(ledger.isSuspect("r", CrashLedger.RECENT_END_NANOS)).isFalse();
        assertThat(ledger.ownReport(CrashLedger.RECENT_END_NANOS).ended())
                .containsExactly(new Fact("r", "i-1"), new Fact("r", "i-2"), new Fact("r", "i-3"));
    }

    @Test
    void anEndThatAnotherEntrySawDismissesCrashesInAnyOrderOfTheReports() {
        CrashReport ended = new CrashReport(List.of(), List.of(new Fact("r", "i-1"), new Fact("r", "i-2")), List.of());
        ledger.learn(Map.of("b", ended), 0);
        ledger.recordLost("r", "i-1", 0);
        ledger.learn(Map.of("c", lost(new Fact("r", "i-2"), new Fact("r", "i-3"))), 0);
        assertThat(ledger.crashes("r", 0)).containsExactly("i-3");
    }

    @Test
    void theClaimsOfAllEntriesCountAsProbes() {
        ledger.recordProbe("r", "t-1", 0);
        ledger.learn(Map.of("b", new CrashReport(List.of(), List.of(), List.of(new Fact("r", "t-2")))), 0);
        assertThat(ledger.probes("r", 0)).isEqualTo(2);
        assertThat(ledger.probes("q", 0)).isZero();
    }

    // Guards against a request that crashes nothing being refused for ten minutes because entries claimed its probes
    // and
    // ended, or had no answer from the store, before they sent any.
    @Test
    void claimsOfProbesThatAreNeverSentDoNotCountForLong() {
        CrashReport claim = new CrashReport(List.of(), List.of(), List.of(new Fact("r", "p-1")));
        CrashReport another = new CrashReport(List.of(), List.of(), List.of(new Fact("r", "p-2")));
        ledger.learn(Map.of("b", claim, "c", another), 0);
        assertThat(ledger.probes("r", TimeUnit.MINUTES.toNanos(1))).isZero();
    }

    // Guards against a request that crashes endpoints being probed without end because the claims of its probes expire.
    @Test
    void aProbeThatWasSentCountsLongerThanItsClaimAlone() {
        Fact claim = new Fact("r", "p-1");
        ledger.learn(Map.of("b", new CrashReport(List.of(), List.of(), List.of(claim), List.of(claim))), 0);
        ledger.recordProbe("r", "p-2", 0);
        ledger.recordProbeSent("r", "p-2", 0);
        assertThat(ledger.probes("r", KEEP)).isEqualTo(2);
        assertThat(ledger.sentProbes("r", KEEP)).isEqualTo(2);
        assertThat(ledger.ownReport(KEEP).sentProbes()).containsExactly(new Fact("r", "p-2"));
        assertThat(ledger.probes("r", KEEP + 1)).isZero();
    }

    // Guards against two entries that claim a probe at the same time keeping each other from sending one.
    @Test
    void aWithdrawnClaimNoLongerCounts() {
        ledger.recordProbe("r", "p-1", 0);
        ledger.recordProbe("r", "p-2", 0);
        ledger.withdrawProbe("r", "p-1");
        assertThat(ledger.probes("r", 0)).isEqualTo(1);
        assertThat(ledger.ownReport(0).probes()).containsExactly(new Fact("r", "p-2"));
    }

    @Test
    void theAgeOfTheLatestCrashCountsFromWhenItBecameKnown() {
        ledger.recordLost("r", "i-1", 10);
        ledger.learn(Map.of("b", lost(new Fact("r", "i-2"))), 30);
        assertThat(ledger.latestCrashAgeNanos("r", 50)).isEqualTo(20);
        assertThat(ledger.latestCrashAgeNanos("q", 50)).isZero();
    }

    @Test
    void aCrashNoLongerCountsAfterItsTimeThoughItsReportStaysInTheStore() {
        ledger.recordLost("r", "i-1", 0);
        ledger.learn(Map.of("b", lost(new Fact("r", "i-2"))), 0);
        assertThat(ledger.crashes("r", KEEP)).containsExactly("i-1", "i-2");
        assertThat(ledger.crashes("r", KEEP + 1)).isEmpty();
        ledger.learn(Map.of("b", lost(new Fact("r", "i-2"))), KEEP + 1);
        assertThat(ledger.crashes("r", KEEP + 1)).isEmpty();
        assertThat(ledger.isEmpty(KEEP + 1)).isTrue();
        assertThat(ledger.ownReport(KEEP + 1)).isEqualTo(CrashReport.EMPTY);
    }

    // Guards against a request crashing three endpoints anew every ten minutes because its crashes are forgotten.
    @Test
    void aSuspectIsForgottenLaterThanSingleCrashes() {
        ledger.recordLost("r", "i-1", 0);
        ledger.learn(Map.of("b", lost(new Fact("r", "i-2"), new Fact("r", "i-3"))), 0);
        ledger.recordProbe("r", "p-1", 0);
        ledger.dropExpired(SUSPECT_KEEP);
        assertThat(ledger.isSuspect("r", SUSPECT_KEEP)).isTrue();
        assertThat(ledger.isEmpty(SUSPECT_KEEP)).isFalse();
        assertThat(ledger.ownReport(SUSPECT_KEEP).lost()).containsExactly(new Fact("r", "i-1"));
        assertThat(ledger.probes("r", KEEP + 1)).isZero();
        assertThat(ledger.isSuspect("r", SUSPECT_KEEP + 1)).isFalse();
        ledger.learn(Map.of("b", lost(new Fact("r", "i-2"), new Fact("r", "i-3"))), SUSPECT_KEEP + 1);
        assertThat(ledger.mayHaveSuspects()).isFalse();
        assertThat(ledger.ownReport(SUSPECT_KEEP + 1)).isEqualTo(CrashReport.EMPTY);
    }

    // Guards against a request that has ended becoming a suspect because an entry learnt of its crashes late and the
    // end was
    // forgotten first.
    @Test
    void anEndDismissesCrashesThatAnEntryHasLearntOfLate() {
        ledger.recordLost("r", "i-1", 0);
        ledger.recordLost("r", "i-2", 0);
        ledger.recordLost("r", "i-3", 0);
        ledger.recordEnded("r", 0);
        ledger.learn(Map.of("b", lost(new Fact("r", "i-1"), new Fact("r", "i-2"), new Fact("r", "i-3"))), KEEP + 1);
        assertThat(ledger.isSuspect("r", KEEP + 1)).isFalse();
    }

    @Test
    void aRestartedEntryInheritsWhatItsEarlierProcessReported() {
        CrashReport earlier = new CrashReport(
                List.of(new Fact("r", "i-1"), new Fact("r", "i-2"), new Fact("r", "i-3")),
                List.of(),
                List.of(new Fact("r", "t-1")));
        ledger.inherit(earlier, 0);
        assertThat(ledger.isSuspect("r", 0)).isTrue();
        assertThat(ledger.probes("r", 0)).isEqualTo(1);
        assertThat(ledger.ownReport(0)).isEqualTo(earlier);
    }

    private void lose(String request, String... incarnations) {
        for (String incarnation : incarnations) {
            ledger.recordLost(request, incarnation, 0);
        }
    }

    // Guards against requests being quarantined that were only at hand whenever another one crashed its endpoint.
    @Test
    void aRequestWhoseCrashesAreAllThoseOfARequestWithMoreIsNoSuspect() {
        lose("culprit", "i-1", "i-2", "i-3");
        lose("bystander", "i-1", "i-2", "i-3");
        assertThat(ledger.isSuspect("culprit", 0)).isTrue();
        assertThat(ledger.isSuspect("bystander", 0))
                .as("which of them it was is not known")
                .isTrue();
        lose("culprit", "i-4");
        assertThat(ledger.isSuspect("culprit", 0)).isTrue();
        assertThat(ledger.isSuspect("bystander", 0)).isFalse();
    }

    // Guards against a request that crashes endpoints being let through because another one does so as well.
    @Test
    void aRequestWithACrashThatNoOtherExplainsStaysASuspect() {
        lose("culprit", "i-1", "i-2", "i-3", "i-4", "i-5");
        lose("another", "i-1", "i-2", "i-3", "i-9");
        assertThat(ledger.isSuspect("another", 0)).isTrue();
        lose("third", "i-9", "i-10", "i-11", "i-12", "i-13");
        assertThat(ledger.isSuspect("another", 0))
                .as("two with more crashes explain it")
                .isFalse();
        ledger.recordEnded("third", 0);
        assertThat(ledger.isSuspect("another", 0)).isTrue();
    }

    // Guards against a flood of requests that crash endpoints filling memory, the store or the event loop.
    @Test
    void ofTenThousandRequestsTheNewestAreKeptInBoundedSpaceAndTime() {
        int requests = 10_000;
        for (int reporter = 0; reporter < 20; reporter++) {
            List<Fact> full = new ArrayList<>();
            for (int i = 0; i < FactTable.MAX_FACTS; i++) {
                full.add(new Fact("other" + reporter + "-" + i, "i-1"));
            }
            ledger.learn(Map.of("entry" + reporter, new CrashReport(full, full, full)), 0);
        }
        long begun = System.nanoTime();
        for (int i = 0; i < requests; i++) {
            for (int crash = 1; crash <= CrashLedger.SUSPECT_CRASHES; crash++) {
                ledger.recordLost("r" + i, "i-" + i + "-" + crash, 0);
            }
            assertThat(ledger.isSuspect("r" + i, 0)).isTrue();
        }
        long nanosEach = (System.nanoTime() - begun) / requests;
        CrashReport report = ledger.ownReport(0);
        assertThat(report.lost()).hasSizeLessThanOrEqualTo(FactTable.MAX_FACTS);
        assertThat(ledger.isSuspect("r" + (requests - 1), 0)).isTrue();
        assertThat(ledger.isSuspect("r0", 0)).isFalse();
        assertThat(nanosEach).as("time for three crashes").isLessThan(TimeUnit.MILLISECONDS.toNanos(5));
    }

    @Test
    void aRequestThatCrashesAgainIsKeptLongerThanOthers() {
        ledger.recordLost("r", "i-1", 0);
        for (int i = 0; i < FactTable.MAX_FACTS - 1; i++) {
            ledger.recordLost("other" + i, "i-1", 0);
        }
        ledger.recordLost("r", "i-2", 0);
        for (int i = 0; i < FactTable.MAX_FACTS / 2; i++) {
            ledger.recordLost("another" + i, "i-2", 0);
        }
        ledger.recordLost("r", "i-3", 0);
        assertThat(ledger.isSuspect("r", 0)).isTrue();
    }
}
