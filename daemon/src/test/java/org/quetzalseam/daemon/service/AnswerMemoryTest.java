package org.quetzalseam.daemon.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

class AnswerMemoryTest {
    private static final long LIMIT_BYTES = 1_000_000;
    private static final long LARGE_BYTES = 500_000;
    private static final long SMALL_BYTES = 1_000;

    private final AtomicLong queued = new AtomicLong();
    private final AnswerMemory memory = new AnswerMemory(LIMIT_BYTES, queued::get);

    // Guards against large answers leaving no memory for small ones.
    @Test
    void smallAnswersAreReceivedBesideLargeOnes() {
        assertThat(memory.tryReserve(LARGE_BYTES, LARGE_BYTES)).isTrue();
        assertThat(memory.tryReserve(LARGE_BYTES, LARGE_BYTES)).isFalse();
        assertThat(memory.tryReserve(SMALL_BYTES, SMALL_BYTES)).isTrue();
        memory.release(LARGE_BYTES);
        assertThat(memory.tryReserve(LARGE_BYTES, LARGE_BYTES)).isTrue();
    }

    // Guards against answers being received while those before them still wait for the entries to read them.
    @Test
    void answersThatAreQueuedForEntriesCount() {
        queued.set(LARGE_BYTES);
        assertThat(memory.tryReserve(LARGE_BYTES, LARGE_BYTES)).isFalse();
        queued.set(0);
        assertThat(memory.tryReserve(LARGE_BYTES, LARGE_BYTES)).isTrue();
    }

    // Guards against waiting for memory that there will never be.
    @Test
    void anAnswerBeyondTheBoundDoesNotFit() {
        assertThat(memory.fits(LARGE_BYTES)).isTrue();
        assertThat(memory.fits(LIMIT_BYTES)).isFalse();
    }
}
