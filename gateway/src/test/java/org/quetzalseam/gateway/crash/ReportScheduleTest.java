package org.quetzalseam.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.core.crash.CrashReport;
import org.quetzalseam.core.crash.CrashReport.Fact;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;

class ReportScheduleTest {
    private static final String KIND = "quetzalseam-crashes";
    private static final int STEP_MILLIS = 50;

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final MemoryStore store = new MemoryStore();
    private long nanos;
    private final Timers timers = new Timers(channel.eventLoop(), () -> nanos, () -> 0);
    private final CrashLedger ledger = new CrashLedger("self", TimeUnit.MINUTES.toNanos(10), TimeUnit.HOURS.toNanos(1));
    private final ReportSchedule schedule = new ReportSchedule(timers, new CrashReports(timers, store, "self", ledger));

    @BeforeEach
    void freeze() {
        channel.freezeTime();
    }

    private void passMillis(long millis) {
        for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
            nanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
            channel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            channel.runScheduledPendingTasks();
        }
    }

    private void otherReports(String incarnation) {
        CrashReport report = new CrashReport(List.of(new Fact("r", incarnation)), List.of(), List.of());
        store.put(KIND, "other", CrashReportObject.toJson(report));
    }

    @Test
    void theReportsAreReadThreeTimesAfterACrashAndNotAgain() {
        schedule.readSoon();
        passMillis(20_000);
        assertThat(store.lists()).isEqualTo(3);
    }

    @Test
    void crashesThatFollowEachOtherCloselyShareTheirReads() {
        for (int i = 0; i < 10; i++) {
            schedule.readSoon();
            passMillis(STEP_MILLIS);
        }
        passMillis(20_000);
        assertThat(store.lists()).isLessThanOrEqualTo(9);
    }

    // Guards against an entry not learning of crashes because the store was away when it would have read of them.
    @Test
    void reportsThatCouldNotBeReadAreReadOnceTheStoreIsBack() {
        store.declining(true);
        schedule.readSoon();
        passMillis(10_000);
        otherReports("i-1");
        store.declining(false);
        passMillis(1_500);
        assertThat(ledger.crashes("r", nanos)).containsExactly("i-1");
        int lists = store.lists();
        passMillis(20_000);
        assertThat(store.lists()).as("not read on and on").isEqualTo(lists);
    }

    @Test
    void aStoreThatDeclinesIsAskedOnceASecond() {
        store.declining(true);
        schedule.readSoon();
        passMillis(30_000);
        assertThat(store.lists()).isLessThanOrEqualTo(35);
    }

    @Test
    void aReportThatFailsIsWrittenAgainOnceASecond() {
        store.declining(true);
        ledger.recordLost("r", "i-1", nanos);
        schedule.reportSoon(true);
        passMillis(5_000);
        assertThat(store.spec(KIND, "self")).isNull();
        store.declining(false);
        passMillis(1_500);
        assertThat(store.spec(KIND, "self")).isNotNull();
    }
}
