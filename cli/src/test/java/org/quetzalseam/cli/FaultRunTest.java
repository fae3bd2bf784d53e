package org.quetzalseam.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalseam.cli.fault.FaultRun;

class FaultRunTest {
    @ParameterizedTest
    @CsvSource({"kowhai, 1", "landesamt, 2"})
    void noGuaranteeIsViolatedThoughFaultsOccurAtAnyMoment(String deployment, long seed) {
        FaultRun.Result result = new FaultRun(deployment, seed, 10).run();
        assertThat(result.report().violations()).isEmpty();
        assertThat(result.report().summaries())
                .allSatisfy(row -> assertThat(row.answered()).isPositive());
    }

    // Guards against a caller getting another request's answer that a service sends again over a kept connection.
    @ParameterizedTest
    @CsvSource({"kowhai, 1", "landesamt, 2"})
    void noGuaranteeIsViolatedThoughServicesSendAnswersAgain(String deployment, long seed) {
        FaultRun.Result result = new FaultRun(deployment, seed, 10, true).run();
        assertThat(result.report().violations()).isEmpty();
        assertThat(result.report().summaries())
                .allSatisfy(row -> assertThat(row.answered()).isPositive());
    }

    // Guards against clients that never read an answer keeping entries from serving others, from stopping, or from
    // telling the truth.
    @ParameterizedTest
    @CsvSource({"kowhai, 1", "landesamt, 2"})
    void noGuaranteeIsViolatedBesideClientsThatNeverRead(String deployment, long seed) {
        FaultRun.Result result = new FaultRun(deployment, seed, 10, false, true).run();
        assertThat(result.report().violations()).isEmpty();
        assertThat(result.report().summaries())
                .allSatisfy(row -> assertThat(row.answered()).isPositive());
    }
}
