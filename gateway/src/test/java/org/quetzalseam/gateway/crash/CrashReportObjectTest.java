package org.quetzalseam.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.crash.CrashReport.Fact;
import org.quetzalseam.core.store.UnreadableException;

class CrashReportObjectTest {
    private static final CrashReport REPORT = new CrashReport(
            List.of(new Fact("r1", "i-1@5", List.of("5a", "91bd3f06")), new Fact("r2", "i-1@5")),
            List.of(new Fact("r3", "i-1@5")),
            List.of(new Fact("part-5a", "claim")),
            List.of(new Fact("part-5a", "claim")),
            List.of(new Fact("5a", "i-1@5")));

    @Test
    void aReportIsReadAsItWasWritten() {
        assertThat(CrashReportObject.of(CrashReportObject.toJson(REPORT))).isEqualTo(REPORT);
    }

    // Guards against reports of entries of an earlier version being refused while a site is upgraded.
    @Test
    void aReportOfAnEarlierVersionKnowsNoParts() {
        ObjectNode json = CrashReportObject.toJson(REPORT);
        json.remove("ended-parts");
        json.remove("sent-probes");
        json.withArray("lost").forEach(fact -> ((ObjectNode) fact).remove("parts"));
        CrashReport read = CrashReportObject.of(json);
        assertThat(read.lost()).containsExactly(new Fact("r1", "i-1@5"), new Fact("r2", "i-1@5"));
        assertThat(read.endedParts()).isEmpty();
    }

    @Test
    void partsThatAreNoTextsAreRefusedWithTheirPlace() {
        ObjectNode json = CrashReportObject.toJson(REPORT);
        ((ObjectNode) json.withArray("lost").get(0)).withArray("parts").add(7);
        assertThatThrownBy(() -> CrashReportObject.of(json))
                .isInstanceOf(UnreadableException.class)
                .hasMessageContaining("lost[0].parts[2]");
    }
}
