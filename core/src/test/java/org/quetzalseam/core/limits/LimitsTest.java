package org.quetzalseam.core.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Map;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.catalogue.CatalogueParser;
import org.quetzalseam.core.catalogue.EntrySpec;
import org.quetzalseam.core.limits.EntryLimiter.Verdict;

class LimitsTest {
    private static final long SECOND_NANOS = 1_000_000_000L;

    private static EntrySpec entry(int rate, int concurrency) {
        String text =
                "[entry e]\nroute = service s\nrate-per-second = " + rate + "\nconcurrency = " + concurrency + "\n";
        EntrySpec entry = CatalogueParser.parse(Map.of("a.ini", text))
                .catalogue()
                .entries()
                .get("e");
        assertThat(entry).isNotNull();
        return entry;
    }

    @Test
    void theRateIsSharedAmongTheEntryProcesses() {
        EntryLimiter limiter = new EntryLimiter();
        EntrySpec entry = entry(10, 1000);
        int entered = 0;
        for (int i = 0; i < 10; i++) {
            entered += limiter.enter(entry, 2, 0) == Verdict.ENTERED ? 1 : 0;
        }
        assertThat(entered).isEqualTo(5);
        assertThat(limiter.retryAfterNanos("e", 0)).isEqualTo(SECOND_NANOS / 5);
        assertThat(limiter.enter(entry, 2, SECOND_NANOS)).isEqualTo(Verdict.ENTERED);
    }

    @Test
    void aRequestThatEndsFreesItsSlot() {
        EntryLimiter limiter = new EntryLimiter();
        EntrySpec entry = entry(1000, 1);
        assertThat(limiter.enter(entry, 1, 0)).isEqualTo(Verdict.ENTERED);
        assertThat(limiter.enter(entry, 1, 0)).isEqualTo(Verdict.CONCURRENCY);
        limiter.leave("e");
        assertThat(limiter.enter(entry, 1, 0)).isEqualTo(Verdict.ENTERED);
    }

    @Test
    void aChangedLimitActsAtOnce() {
        EntryLimiter limiter = new EntryLimiter();
        limiter.enter(entry(1, 100), 1, 0);
        assertThat(limiter.enter(entry(1, 100), 1, 0)).isEqualTo(Verdict.RATE);
        assertThat(limiter.enter(entry(50, 100), 1, 0)).isEqualTo(Verdict.ENTERED);
    }

    @Test
    void retriesAreBoundedToAShareOfAnOwnersRequests() {
        RetryBudget budget = new RetryBudget(0.1);
        int retries = 0;
        for (int i = 0; i < 1000; i++) {
            budget.recordRequest("o");
            retries += budget.tryRetry("o") ? 1 : 0;
        }
        assertThat(retries).isBetween(90, 110);
        assertThat(budget.tryRetry("other")).isTrue();
    }
}
