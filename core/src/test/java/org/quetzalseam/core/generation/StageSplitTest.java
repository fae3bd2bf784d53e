package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.fleet.Stage;

class StageSplitTest {
    private final StageSplit split = new StageSplit(0.25);

    private static List<EngineSample> engines(int prefill, int busyPrefill, int decode, double fill) {
        List<EngineSample> engines = new ArrayList<>();
        for (int i = 0; i < prefill; i++) {
            engines.add(new EngineSample("p" + i, Stage.PREFILL, i < busyPrefill ? 1 : 0, 0, 0));
        }
        for (int i = 0; i < decode; i++) {
            engines.add(new EngineSample("d" + i, Stage.DECODE, fill > 0 ? 5 : 0, 0, fill));
        }
        return engines;
    }

    private List<StageSplit.Change> after(int samples, List<EngineSample> engines) {
        for (int i = 0; i < samples; i++) {
            split.observe(engines);
        }
        return split.decide(engines);
    }

    @Test
    void beforeAnyLoadTheAssumedShareIsFollowed() {
        assertThat(after(5, engines(3, 0, 5, 0))).singleElement().satisfies(change -> {
            assertThat(change.stage()).isEqualTo(Stage.DECODE);
            assertThat(change.engine()).startsWith("p");
        });
        assertThat(after(5, engines(2, 0, 6, 0))).isEmpty();
        assertThat(after(5, engines(1, 0, 7, 0)))
                .singleElement()
                .satisfies(change -> assertThat(change.stage()).isEqualTo(Stage.PREFILL));
    }

    @Test
    void enginesThatAreStillRegisteringLeadToNoOrder() {
        assertThat(after(2, engines(0, 0, 2, 0))).isEmpty();
        assertThat(after(2, engines(1, 0, 3, 0))).isEmpty();
        assertThat(after(2, engines(3, 0, 5, 0))).isEmpty();
    }

    @Test
    void longAnswersMoveAnIdlePrefillEngineToDecoding() {
        assertThat(after(10, engines(4, 1, 4, 0.9)))
                .singleElement()
                .satisfies(change -> assertThat(change.stage()).isEqualTo(Stage.DECODE));
    }

    @Test
    void longPromptsMoveADecodeEngineWithFreeMemoryToPrefill() {
        assertThat(after(10, engines(2, 2, 6, 0.2)))
                .singleElement()
                .satisfies(change -> assertThat(change.stage()).isEqualTo(Stage.PREFILL));
    }

    @Test
    void whenBothStagesAreOverloadedNothingChanges() {
        assertThat(after(10, engines(2, 2, 6, 0.95))).isEmpty();
        assertThat(after(10, engines(3, 3, 5, 0.95))).isEmpty();
    }

    @Test
    void theLastPrefillEngineStays() {
        assertThat(after(10, engines(1, 0, 7, 0.99))).isEmpty();
    }

    @Test
    void aShortBurstCausesNoChange() {
        after(30, engines(3, 1, 5, 0.3));
        assertThat(after(2, engines(3, 1, 5, 1.0))).isEmpty();
    }

    @Test
    void afterAChangeTheLoadIsMeasuredAfresh() {
        after(10, engines(5, 1, 3, 0.9));
        split.stageChanged();
        assertThat(after(3, engines(4, 1, 4, 0.9))).isEmpty();
        assertThat(after(10, engines(4, 1, 4, 0.9))).hasSize(1);
    }

    @Test
    void aLargePoolFollowsTheLoadInStepsOfAnEighth() {
        List<StageSplit.Change> changes = after(10, engines(16, 3, 24, 0.9));
        assertThat(changes)
                .hasSize(5)
                .allSatisfy(change -> assertThat(change.stage()).isEqualTo(Stage.DECODE));
        assertThat(changes).extracting(StageSplit.Change::engine).doesNotHaveDuplicates();
    }

    @Test
    void onlyAsManyEnginesMoveAsTheOthersCanDoWithout() {
        assertThat(after(10, engines(10, 4, 30, 0.9))).hasSize(1);
    }

    @Test
    void onlyAsManyDecodeEnginesMoveAsLeaveMemoryFree() {
        assertThat(after(10, engines(4, 4, 36, 0.5))).hasSize(3);
    }

    /**
     * Guards against a change that costs more than it gains. Two of six engines prefill and are busy for a quarter of
     * the time; the memory of the others is filled to 0.62 just before a burst of 2.2 times the mean. With one prefill
     * engine fewer, the burst would need 1.03 times what the remaining one can prefill, for the rest of the day.
     */
    @Test
    void aChangeThatRelievesLessThanItTakesOutOfServiceIsNotMade() {
        List<EngineSample> oneBusy = engines(2, 1, 4, 0.62);
        List<EngineSample> noneBusy = engines(2, 0, 4, 0.62);
        for (int i = 0; i < 20; i++) {
            split.observe(i % 2 == 0 ? oneBusy : noneBusy);
            assertThat(split.decide(oneBusy)).isEmpty();
        }
    }

    /**
     * Guards against a pool without a prefill engine. Engines shut down one after the other under bursts, the last
     * prefill engine among them, while the decode engines are full: without a prefill engine, each prompt delays the
     * streams of the decode engine that prefills it for the whole of its prefill.
     */
    @Test
    void aPoolThatHasLostItsLastPrefillEngineGetsOneBackHoweverFullItIs() {
        after(10, engines(1, 1, 4, 0.9));
        assertThat(after(4, engines(0, 0, 4, 0.95)))
                .singleElement()
                .satisfies(change -> assertThat(change.stage()).isEqualTo(Stage.PREFILL));
    }

    @Test
    void aPrefillEngineThatIsMissingFromOneReportOnlyIsNotReplaced() {
        after(10, engines(1, 1, 4, 0.9));
        assertThat(after(1, engines(0, 0, 4, 0.95))).isEmpty();
    }
}
