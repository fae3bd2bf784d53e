package org.quetzalseam.core.access;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EntryPartTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long INTERVAL = 10 * SECOND;

    private final EntryPart part = new EntryPart();

    @Test
    void anEntryAccruesNothingBeforeItsFirstCount() {
        assertThat(part.part(0)).isZero();
        part.recordCount(4, INTERVAL, 0);
        assertThat(part.part(SECOND)).isEqualTo(0.25);
    }

    // Guards against an entry that can't reach the store keeping a part that others divide among more entries.
    @Test
    void anEntryWhoseCountIsOldAccruesNothing() {
        part.recordCount(4, INTERVAL, 0);
        assertThat(part.part(25 * SECOND)).isEqualTo(0.25);
        assertThat(part.part(26 * SECOND)).isZero();
    }

    // Guards against a new entry taking a part before the others have made room for it.
    @Test
    void aNewEntryAccruesOnlyWhenNoOtherCanStillCountWithoutIt() {
        part.recordAdded(0);
        part.recordCount(5, INTERVAL, 30 * SECOND);
        assertThat(part.part(40 * SECOND)).isZero();
        assertThat(part.part(41 * SECOND)).isEqualTo(0.2);
    }
}
