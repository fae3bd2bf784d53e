package org.quetzalseam.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.netty.channel.DefaultEventLoop;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.crash.CrashLedger;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.MemoryStore;

class CrashReportsTest {
    private static final String KIND = "quetzalseam-crashes";
    private static final long KEEP_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final DefaultEventLoop loop = new DefaultEventLoop();
    private final Timers timers = new Timers(loop);
    private final MemoryStore store = new MemoryStore();

    @AfterEach
    void stop() {
        loop.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).syncUninterruptibly();
    }

    /** One process of an entry. */
    private final class Entry {
        private final CrashLedger ledger;
        private final CrashReports reports;

        Entry(String name) {
            ledger = new CrashLedger(name, KEEP_NANOS, KEEP_NANOS);
            reports = new CrashReports(timers, store, name, ledger);
        }

        boolean write() {
            AtomicReference<@Nullable Boolean> answer = new AtomicReference<>();
            reports.write(answer::set);
            return Boolean.TRUE.equals(answer.get());
        }

        boolean read() {
            AtomicReference<@Nullable Boolean> answer = new AtomicReference<>();
            reports.read(answer::set);
            return Boolean.TRUE.equals(answer.get());
        }

        void lose(String request, String incarnation) {
            ledger.recordLost(request, incarnation, timers.now());
        }

        int crashes(String request) {
            return ledger.crashes(request, timers.now()).size();
        }
    }

    @Test
    void anEntryLearnsWhatOthersReport() {
        Entry one = new Entry("one");
        Entry two = new Entry("two");
        one.lose("r", "i-1");
        two.lose("r", "i-2");
        assertThat(one.write()).isTrue();
        assertThat(two.write()).isTrue();
        assertThat(one.read()).isTrue();
        assertThat(one.crashes("r")).isEqualTo(2);
        assertThat(two.crashes("r")).isEqualTo(2);
    }

    // Guards against a restarted entry replacing what its earlier process had reported.
    @Test
    void aRestartedEntryKeepsTheReportOfItsEarlierProcess() {
        Entry earlier = new Entry("one");
        earlier.lose("r", "i-1");
        earlier.write();
        Entry restarted = new Entry("one");
        restarted.lose("r", "i-2");
        assertThat(restarted.write()).isTrue();
        Entry other = new Entry("two");
        other.read();
        assertThat(other.crashes("r")).isEqualTo(2);
    }

    // Guards against a report being lost because the store's answer to an earlier write was.
    @Test
    void aReportIsWrittenAfterTheAnswerToAnEarlierOneWasLost() {
        Entry one = new Entry("one");
        one.lose("r", "i-1");
        store.losingAnswers(true);
        assertThat(one.write()).isFalse();
        store.losingAnswers(false);
        one.lose("r", "i-2");
        assertThat(one.write()).isTrue();
        Entry other = new Entry("two");
        other.read();
        assertThat(other.crashes("r")).isEqualTo(2);
    }

    @Test
    void aStoreThatDeclinesCallsLeavesTheReportOutdated() {
        Entry one = new Entry("one");
        one.lose("r", "i-1");
        store.declining(true);
        assertThat(one.write()).isFalse();
        assertThat(one.reports.outdated()).isTrue();
        store.declining(false);
        assertThat(one.write()).isTrue();
        assertThat(one.reports.outdated()).isFalse();
    }

    // Guards against crashes being forgotten because the store came back from an older copy.
    @Test
    void aReportThatARestoredStoreLacksIsOutdated() {
        MemoryStore.Copy copy = store.copy();
        Entry one = new Entry("one");
        one.lose("r", "i-1");
        one.write();
        store.restore(copy);
        one.read();
        assertThat(one.reports.outdated()).isTrue();
        assertThat(one.crashes("r")).isEqualTo(1);
        assertThat(one.write()).isTrue();
        assertThat(store.spec(KIND, "one")).isNotNull();
    }

    // Guards against a report counting as written because an early page showed it, though the store was then
    // restored from a copy without it.
    @Test
    void aReportThatAStoreLacksWhichIsRestoredBetweenTwoPagesIsOutdated() {
        Entry other = new Entry("two");
        other.lose("r", "i-2");
        other.write();
        MemoryStore.Copy copy = store.copy();
        Entry one = new Entry("one");
        one.lose("r", "i-1");
        one.write();
        store.pageSize(1);
        store.betweenPages(() -> store.restore(copy));
        assertThat(one.read()).isTrue();
        assertThat(one.reports.outdated()).isTrue();
    }

    // Guards against a reading that began before a report was written passing for one that has seen the report.
    @Test
    void theAgeOfTheReportsCountsFromTheRequestOfTheFirstPage() {
        Entry other = new Entry("two");
        other.lose("r", "i-2");
        other.write();
        Entry one = new Entry("one");
        one.write();
        store.pageSize(1);
        long readNanos = TimeUnit.MILLISECONDS.toNanos(50);
        store.betweenPages(() -> LockSupport.parkNanos(readNanos));
        one.read();
        assertThat(one.reports.ageNanos()).isGreaterThanOrEqualTo(readNanos);
    }

    @Test
    void anObjectOfAnotherFormIsLeftAside() {
        store.put(KIND, "foreign", JsonNodeFactory.instance.objectNode().put("lost", 3));
        Entry one = new Entry("one");
        one.lose("r", "i-1");
        one.write();
        Entry two = new Entry("two");
        assertThat(two.read()).isTrue();
        assertThat(two.crashes("r")).isEqualTo(1);
    }

    // Guards against more probes than allowed when entries claim one at the same time.
    @Test
    void ofClaimsWrittenAtTheSameTimeTheThirdCountsThree() {
        for (String name : new String[] {"one", "two", "three"}) {
            Entry entry = new Entry(name);
            entry.read();
            entry.ledger.recordProbe("r", "probe of " + name, timers.now());
            entry.write();
        }
        Entry last = new Entry("three");
        last.read();
        assertThat(last.ledger.probes("r", timers.now())).isEqualTo(3);
    }
}
