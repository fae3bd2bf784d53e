package org.quetzalseam.core.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashReport.Fact;

class PartLedgerTest {
    private static final long KEEP = TimeUnit.MINUTES.toNanos(10);
    private static final long SUSPECT_KEEP = TimeUnit.HOURS.toNanos(1);

    private final CrashLedger ledger = new CrashLedger("a", KEEP, SUSPECT_KEEP);
    private final PartLedger parts = ledger.parts();
    private int requests;

    /** Returns the loss of a request that no other is like. */
    private Fact lost(String incarnation, String... held) {
        return new Fact("r" + requests++, incarnation, List.of(held));
    }

    private void lose(long now, String incarnation, String... held) {
        ledger.recordLost(lost(incarnation, held), now);
    }

    private static CrashReport report(Fact... lost) {
        return new CrashReport(List.of(lost), List.of(), List.of());
    }

    @Test
    void aPartIsSuspectAfterFiveCrashesWhicheverEntriesSawThem() {
        parts.recordEnded(List.of("first"), 0);
        lose(0, "i-1", "first", "bad");
        lose(0, "i-2", "first", "bad");
        ledger.learn(Map.of("b", report(lost("i-3", "first", "bad"), lost("i-4", "other", "bad"))), 0);
        assertThat(parts.suspects()).isEmpty();
        ledger.learn(Map.of("c", report(lost("i-5", "first", "bad"))), 0);
        assertThat(parts.suspects()).containsExactly("bad");
        assertThat(parts.reporters("bad")).containsExactly("a", "b", "c");
    }

    // Guards against everything that shares the first part being refused because the first part was at hand at each
    // crash.
    @Test
    void aFirstPartThatAllRequestsHoldIsNoSuspectThoughNothingHasEndedWithIt() {
        for (int i = 0; i < 8; i++) {
            lose(0, "i-" + i, "first", "bad");
            lose(0, "i-" + i, "first", "fine" + i);
        }
        assertThat(parts.suspects()).containsExactly("bad");
    }

    // Guards against the first part of all requests being taken for the cause in place of a part that always follows
    // it.
    @Test
    void ofTwoPartsThatAreAlwaysTogetherTheOneFurtherBackIsTheSuspect() {
        for (int i = 0; i < 5; i++) {
            lose(0, "i-" + i, "first", "bad");
        }
        assertThat(parts.suspects()).containsExactly("bad");
    }

    @Test
    void aFirstPartThatCrashesEndpointsIsASuspectWhateverFollowsIt() {
        for (int i = 0; i < 5; i++) {
            lose(0, "i-" + i, "bad", "fine" + i % 3);
        }
        assertThat(parts.suspects()).containsExactly("bad");
    }

    // Guards against one of two parts that crash endpoints being excused by the other, as both were at hand at each
    // crash.
    @Test
    void twoPartsOfDifferentRequestsAreSuspectsBothThoughTheyHaveTheSameCrashes() {
        parts.recordEnded(List.of("first"), 0);
        for (int i = 0; i < 5; i++) {
            lose(0, "i-" + i, "first", "bad1");
            lose(0, "i-" + i, "first", "bad2");
        }
        assertThat(parts.suspects()).containsExactlyInAnyOrder("bad1", "bad2");
    }

    // Guards against a popular part that no run has ended with for some time becoming a suspect because of two others,
    // each of
    // which has fewer crashes.
    @Test
    void aPartThatTwoOthersExplainIsNoSuspect() {
        parts.recordEnded(List.of("first"), 0);
        long later = PartLedger.RECENT_END_NANOS + 1;
        for (int i = 0; i < 5; i++) {
            lose(later, "i-" + i, "first", "bad1");
            lose(later, "j-" + i, "first", "bad2");
        }
        assertThat(parts.crashes("first")).hasSize(10);
        assertThat(parts.suspects()).containsExactlyInAnyOrder("bad1", "bad2");
    }

    @Test
    void aPartWithWhichRunsEndedBeforeBecomesASuspectIfNothingElseExplainsItsCrashes() {
        parts.recordEnded(List.of("first", "bad"), 0);
        long later = PartLedger.RECENT_END_NANOS + 1;
        for (int i = 0; i < PartLedger.ENDED_SUSPECT_CRASHES; i++) {
            assertThat(parts.suspects()).isEmpty();
            lose(later, "i-" + i, "first", "bad");
            parts.recordEnded(List.of("first"), later);
        }
        assertThat(parts.suspects()).containsExactly("bad");
    }

    // Guards against one request that crashes its endpoints again and again making a suspect of all that it holds.
    @Test
    void aPartOfOneRequestOnlyIsNoSuspect() {
        for (int i = 0; i < 9; i++) {
            ledger.recordLost(new Fact("same", "i-" + i, List.of("first")), 0);
        }
        assertThat(parts.suspects()).isEmpty();
        assertThat(ledger.isSuspect("same", 0)).isTrue();
    }

    // Guards against sound requests being quarantined that were lost three times beside a part that crashes endpoints.
    @Test
    void aRequestWhoseCrashesASuspectPartExplainsIsNoSuspect() {
        for (int i = 0; i < 5; i++) {
            lose(0, "i-" + i, "bad");
            ledger.recordLost(new Fact("unlucky", "i-" + i, List.of("fine")), 0);
            parts.recordEnded(List.of("fine"), 0);
        }
        assertThat(ledger.isSuspect("unlucky", 0)).isFalse();
        for (int i = 0; i < 3; i++) {
            ledger.recordLost(new Fact("unlucky", "j-" + i, List.of("fine")), 0);
        }
        assertThat(ledger.isSuspect("unlucky", 0)).isTrue();
    }

    // Guards against a request that many callers send being refused because a part of other prompts crashed three
    // endpoints that
    // ran it, too few to suspect the part.
    @Test
    void aRequestIsNoSuspectIfAnotherPromptsPartThatNothingHasEndedWithWasAtHandAtEachOfItsCrashes() {
        for (int i = 0; i < 3; i++) {
            lose(0, "i-" + i, "first", "bad");
            ledger.recordLost(new Fact("popular", "i-" + i, List.of("first", "fine")), 0);
        }
        assertThat(parts.suspects()).isEmpty();
        assertThat(ledger.isSuspect("popular", 0)).isFalse();
        ledger.recordLost(new Fact("popular", "i-3", List.of("first", "fine")), 0);
        assertThat(ledger.isSuspect("popular", 0))
                .as("one crash without the part")
                .isTrue();
    }

    // Guards against a request that crashes endpoints being excused by what it holds itself, or by a part that runs end
    // with.
    @Test
    void aRequestIsASuspectThoughItsOwnPartsAndOnesThatRunsEndWithWereAtHandAtItsCrashes() {
        parts.recordEnded(List.of("sound"), 0);
        long later = PartLedger.RECENT_END_NANOS + 1;
        for (int i = 0; i < 3; i++) {
            lose(later, "i-" + i, "sound");
            ledger.recordLost(new Fact("culprit", "i-" + i, List.of("own")), later);
        }
        assertThat(ledger.isSuspect("culprit", later)).isTrue();
    }

    @Test
    void aRunThatEndsAtAnotherEntryClearsThePart() {
        for (int i = 0; i < 5; i++) {
            lose(0, "i-" + i, "doubted");
        }
        assertThat(parts.suspects()).containsExactly("doubted");
        CrashLedger other = new CrashLedger("b", KEEP, SUSPECT_KEEP);
        other.learn(Map.of("a", ledger.ownReport(0)), 0);
        assertThat(other.parts().suspects()).containsExactly("doubted");
        assertThat(other.parts().recordEnded(List.of("doubted"), 0)).isTrue();
        assertThat(other.parts().suspects()).isEmpty();
        ledger.learn(Map.of("b", other.ownReport(0)), 0);
        assertThat(parts.suspects()).isEmpty();
    }

    @Test
    void theSuspectsOfAnEntryThatHasReadTheReportsAreThoseOfTheOthers() {
        lose(0, "i-1", "bad");
        lose(0, "i-2", "bad");
        CrashReport other = report(lost("i-3", "bad"), lost("i-4", "bad"), lost("i-5", "bad"));
        CrashLedger started = new CrashLedger("c", KEEP, SUSPECT_KEEP);
        started.learn(Map.of("a", ledger.ownReport(0), "b", other), 0);
        assertThat(started.parts().suspects()).containsExactly("bad");
    }

    // Guards against what an entry was told directly getting lost when it reads an older report from the store.
    @Test
    void whatWasToldDirectlyStaysThoughTheReportDoesNotHaveItYet() {
        Fact[] told = {
            lost("i-1", "bad"), lost("i-2", "bad"), lost("i-3", "bad"), lost("i-4", "bad"), lost("i-5", "bad")
        };
        ledger.hear("b", report(told), 0);
        assertThat(parts.suspects()).containsExactly("bad");
        ledger.learn(Map.of("b", report(told[0])), 0);
        assertThat(parts.suspects()).containsExactly("bad");
    }

    // Guards against a part crashing five endpoints anew every ten minutes because its crashes are forgotten.
    @Test
    void aSuspectIsForgottenLaterThanSingleCrashes() {
        for (int i = 0; i < 5; i++) {
            lose(0, "i-" + i, "bad");
        }
        lose(0, "i-1", "fine");
        ledger.dropAllExpired(SUSPECT_KEEP);
        assertThat(parts.suspects()).containsExactly("bad");
        assertThat(parts.crashes("fine")).isEmpty();
        assertThat(ledger.ownReport(SUSPECT_KEEP).lost()).hasSize(5);
        ledger.dropAllExpired(SUSPECT_KEEP + 1);
        assertThat(parts.suspects()).isEmpty();
        assertThat(ledger.ownReport(SUSPECT_KEEP + 1)).isEqualTo(CrashReport.EMPTY);
    }

    // Guards against many other losses, or a flood of made-up parts, pushing out what makes a part a suspect.
    @Test
    void theCrashesOfASuspectAreForgottenLast() {
        for (int i = 0; i < 5; i++) {
            lose(0, "i-" + i, "bad");
        }
        for (int i = 0; i < 4 * FactTable.MAX_FACTS; i++) {
            lose(0, "j-" + i, "made-up" + i);
            parts.recordEnded(List.of("ended" + i), 0);
        }
        assertThat(parts.suspects()).containsExactly("bad");
        assertThat(ledger.ownReport(0).lost()).hasSize(FactTable.MAX_FACTS);
    }

    @Test
    void manyPartsAreJudgedInBoundedTime() {
        for (int reporter = 0; reporter < 20; reporter++) {
            List<Fact> full = new ArrayList<>();
            for (int i = 0; i < FactTable.MAX_FACTS; i++) {
                full.add(lost("i-" + reporter + "-" + i % 16, "first", "second" + i % 7, "third" + i));
            }
            ledger.learn(Map.of("entry" + reporter, report(full.toArray(new Fact[0]))), 0);
        }
        int losses = 200;
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        long begun = threads.getCurrentThreadCpuTime();
        for (int i = 0; i < losses; i++) {
            lose(0, "i", "first", "another" + i);
        }
        assertThat((threads.getCurrentThreadCpuTime() - begun) / losses)
                .as("processor time for one loss, in nanoseconds")
                .isLessThan(TimeUnit.MILLISECONDS.toNanos(50));
    }
}
