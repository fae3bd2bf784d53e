package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.quetzalseam.cli.fault.CrashRun;

class CrashRunTest {
    private static final double SECONDS = 12;
    private static final int SUSPECT_CRASHES = 3;
    private static final int PART_SUSPECT_CRASHES = 5;

    // Guards against other requests being refused, and more engines lost than must be, for one that crashes them.
    @Test
    void oneCompletionCrashesFewEnginesAndNoOtherIsTakenForIt() {
        CrashRun.Result result = new CrashRun("kowhai", 1, SECONDS, CrashRun.Cause.COMPLETION).run();
        assertThat(result.crashes()).isGreaterThanOrEqualTo(SUSPECT_CRASHES);
        assertThat(result.good()).as(result.toString()).isTrue();
    }

    // Guards against engines being lost one after the other to completions that are never alike but have a part in
    // common.
    @Test
    void aPartOfPromptsCrashesFewEnginesAndNoOtherRequestIsTakenForIt() {
        CrashRun.Result result = new CrashRun("kowhai", 3, SECONDS, CrashRun.Cause.PART).run();
        assertThat(result.crashes()).isGreaterThanOrEqualTo(PART_SUSPECT_CRASHES);
        assertThat(result.good()).as(result.toString()).isTrue();
    }

    // Guards against requests being quarantined that were only at hand when engines crashed for another reason.
    @Test
    void nothingIsQuarantinedWhenEnginesCrashForAnotherReason() {
        CrashRun.Result result = new CrashRun("kowhai", 2, SECONDS, CrashRun.Cause.NONE).run();
        assertThat(result.crashes()).isGreaterThanOrEqualTo(SUSPECT_CRASHES);
        assertThat(result.good()).as(result.toString()).isTrue();
    }
}
