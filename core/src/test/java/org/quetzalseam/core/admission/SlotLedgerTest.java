package org.quetzalseam.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.quetzalseam.core.attempt.AttemptId;

class SlotLedgerTest {
    private static AttemptId id(int number) {
        return new AttemptId(1, number, 1);
    }

    @Test
    void aSlotIsReleasedOnce() {
        SlotLedger ledger = new SlotLedger(2, 0);
        assertThat(ledger.book(id(1), WorkClass.LONG, 0)).isTrue();
        assertThat(ledger.book(id(1), WorkClass.LONG, 0)).isFalse();
        assertThat(ledger.release(id(1))).isTrue();
        assertThat(ledger.release(id(1))).isFalse();
        assertThat(ledger.free()).isEqualTo(2);
    }

    @Test
    void longWorkCannotBookTheSlotsReservedForShortWork() {
        SlotLedger ledger = new SlotLedger(3, 1);
        ledger.book(id(1), WorkClass.LONG, 0);
        ledger.book(id(2), WorkClass.LONG, 0);
        assertThat(ledger.book(id(3), WorkClass.LONG, 0)).isFalse();
        assertThat(ledger.book(id(4), WorkClass.SHORT, 0)).isTrue();
    }

    @Property(seed = "42", tries = 200)
    void theFreeCountIsRightForAnyOrderOfBookingAndReleasing(
            @ForAll @Size(max = 60) List<@IntRange(min = -8, max = 8) Integer> steps) {
        SlotLedger ledger = new SlotLedger(4, 1);
        Set<Integer> held = new HashSet<>();
        for (int step : steps) {
            if (step > 0 && ledger.book(id(step), WorkClass.SHORT, 0)) {
                assertThat(held.add(step)).isTrue();
            } else if (step < 0) {
                assertThat(ledger.release(id(-step))).isEqualTo(held.remove(-step));
            }
            assertThat(ledger.free()).isEqualTo(4 - held.size());
        }
    }
}
