package org.quetzalseam.core.generation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Prefill engines answer for a prompt of 5,000 tokens in 175 ms; a decode engine takes about as long, in which its streams stand
 * nearly still. Callers are promised pauses of 300 ms at most.
 */
class ReadingInPlaceTest {
    private static final double PACE = 0.035;
    private static final double PAUSE = 300;
    private static final int TOKENS = 5_000;
    private static final List<String> DECODERS = List.of("a", "b", "c", "d");

    private final ReadingInPlace<String> reading = new ReadingInPlace<>();
    private long now = 7;

    private Optional<String> engine(int tokens) {
        return engine(reading, tokens);
    }

    private Optional<String> engine(ReadingInPlace<String> entry, int tokens) {
        return entry.engine(DECODERS, Function.identity(), tokens, PACE, PAUSE, now);
    }

    @Test
    void beforeTheEntriesAreCountedNoEngineIsTaken() {
        assertThat(engine(TOKENS)).isEmpty();
    }

    @Test
    void eachEngineIsOneEntrysAndAnEntryWithoutOneReadsNone() {
        Map<String, Integer> owners = new HashMap<>();
        for (int rank = 0; rank < 5; rank++) {
            ReadingInPlace<String> entry = new ReadingInPlace<>();
            entry.entries(5, rank);
            engine(entry, TOKENS).ifPresent(taken -> owners.merge(taken, 1, Integer::sum));
        }
        assertThat(owners)
                .containsOnlyKeys(DECODERS)
                .allSatisfy((engine, entries) -> assertThat(entries).isEqualTo(1));
    }

    @Test
    void anEntryWithSeveralEnginesUsesThoseThatAreFree() {
        reading.entries(2, 1);
        assertThat(engine(TOKENS)).contains("b");
        reading.begin("b", TOKENS, PACE, now);
        assertThat(engine(TOKENS)).contains("d");
        reading.begin("d", TOKENS, PACE, now);
        assertThat(engine(TOKENS)).isEmpty();
        now += TimeUnit.MILLISECONDS.toNanos(360);
        assertThat(engine(TOKENS)).contains("b");
    }

    @Test
    void aPromptThatWouldHoldUpTheStreamsForTooLongIsNotReadInPlace() {
        reading.entries(1, 0);
        assertThat(engine(6_400)).isPresent();
        assertThat(engine(6_500)).isEmpty();
    }

    @Test
    void nothingIsReadInPlaceWhereThePaceOrTheObjectiveIsUnknown() {
        reading.entries(1, 0);
        assertThat(reading.engine(DECODERS, Function.identity(), TOKENS, 0, PAUSE, now))
                .isEmpty();
        assertThat(reading.engine(DECODERS, Function.identity(), TOKENS, PACE, 0, now))
                .isEmpty();
    }

    /** Five entries under a burst, seeded: whatever they ask for, no two readings at one engine overlap, and each leaves a gap. */
    @Test
    void readingsOfAllEntriesAtOneEngineNeverOverlap() {
        Random random = new Random(4);
        Map<String, Long> freeAt = new HashMap<>();
        List<ReadingInPlace<String>> entries = new ArrayList<>();
        for (int rank = 0; rank < 5; rank++) {
            ReadingInPlace<String> entry = new ReadingInPlace<>();
            entry.entries(5, rank);
            entries.add(entry);
        }
        int read = 0;
        for (int i = 0; i < 2_000; i++) {
            now += TimeUnit.MILLISECONDS.toNanos(random.nextInt(40));
            int tokens = 500 + random.nextInt(6_500);
            ReadingInPlace<String> entry = entries.get(random.nextInt(5));
            Optional<String> engine = engine(entry, tokens);
            if (engine.isPresent()) {
                long millis = Math.round(tokens * PACE);
                assertThat(freeAt.getOrDefault(engine.get(), now)).isLessThanOrEqualTo(now);
                freeAt.put(engine.get(), now + TimeUnit.MILLISECONDS.toNanos(millis + 10));
                entry.begin(engine.get(), tokens, PACE, now);
                read++;
            }
        }
        assertThat(read).isGreaterThan(200);
    }
}
