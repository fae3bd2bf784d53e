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
 * Prefill engines answer for a prompt of 5,000 tokens in 175 ms; a decode engine takes about as long, and its streams
 * nearly stop meanwhile. Callers are promised pauses of 300 ms at most.
 */
class InPlacePrefillTest {
    private static final double MILLIS_PER_TOKEN = 0.035;
    private static final double MAX_PAUSE_MILLIS = 300;
    private static final int TOKENS = 5_000;
    private static final List<String> DECODERS = List.of("a", "b", "c", "d");

    private final InPlacePrefill<String> inPlace = new InPlacePrefill<>();
    private long now = 7;

    private Optional<String> selectEngine(int tokens) {
        return selectEngine(inPlace, tokens);
    }

    private Optional<String> selectEngine(InPlacePrefill<String> entry, int tokens) {
        return entry.selectEngine(DECODERS, Function.identity(), tokens, MILLIS_PER_TOKEN, MAX_PAUSE_MILLIS, now);
    }

    @Test
    void beforeTheEntriesAreCountedNoEngineIsSelected() {
        assertThat(selectEngine(TOKENS)).isEmpty();
    }

    @Test
    void eachEngineBelongsToOneEntryAndAnEntryWithoutEnginesSelectsNone() {
        Map<String, Integer> owners = new HashMap<>();
        for (int rank = 0; rank < 5; rank++) {
            InPlacePrefill<String> entry = new InPlacePrefill<>();
            entry.updateEntries(5, rank);
            selectEngine(entry, TOKENS).ifPresent(selected -> owners.merge(selected, 1, Integer::sum));
        }
        assertThat(owners)
                .containsOnlyKeys(DECODERS)
                .allSatisfy((engine, entries) -> assertThat(entries).isEqualTo(1));
    }

    @Test
    void anEntryWithSeveralEnginesUsesThoseThatAreFree() {
        inPlace.updateEntries(2, 1);
        assertThat(selectEngine(TOKENS)).contains("b");
        inPlace.begin("b", TOKENS, MILLIS_PER_TOKEN, now);
        assertThat(selectEngine(TOKENS)).contains("d");
        inPlace.begin("d", TOKENS, MILLIS_PER_TOKEN, now);
        assertThat(selectEngine(TOKENS)).isEmpty();
        now += TimeUnit.MILLISECONDS.toNanos(360);
        assertThat(selectEngine(TOKENS)).contains("b");
    }

    @Test
    void aPromptThatWouldPauseTheStreamsForTooLongIsNotPrefilledInPlace() {
        inPlace.updateEntries(1, 0);
        assertThat(selectEngine(6_400)).isPresent();
        assertThat(selectEngine(6_500)).isEmpty();
    }

    @Test
    void nothingIsPrefilledInPlaceWhereThePaceOrTheObjectiveIsUnknown() {
        inPlace.updateEntries(1, 0);
        assertThat(inPlace.selectEngine(DECODERS, Function.identity(), TOKENS, 0, MAX_PAUSE_MILLIS, now))
                .isEmpty();
        assertThat(inPlace.selectEngine(DECODERS, Function.identity(), TOKENS, MILLIS_PER_TOKEN, 0, now))
                .isEmpty();
    }

    /** Five entries under a seeded burst: no two prefills at one engine overlap, and each leaves a gap after it. */
    @Test
    void prefillsOfAllEntriesAtOneEngineNeverOverlap() {
        Random random = new Random(4);
        Map<String, Long> freeAt = new HashMap<>();
        List<InPlacePrefill<String>> entries = new ArrayList<>();
        for (int rank = 0; rank < 5; rank++) {
            InPlacePrefill<String> entry = new InPlacePrefill<>();
            entry.updateEntries(5, rank);
            entries.add(entry);
        }
        int prefills = 0;
        for (int i = 0; i < 2_000; i++) {
            now += TimeUnit.MILLISECONDS.toNanos(random.nextInt(40));
            int tokens = 500 + random.nextInt(6_500);
            InPlacePrefill<String> entry = entries.get(random.nextInt(5));
            Optional<String> engine = selectEngine(entry, tokens);
            if (engine.isPresent()) {
                long millis = Math.round(tokens * MILLIS_PER_TOKEN);
                assertThat(freeAt.getOrDefault(engine.get(), now)).isLessThanOrEqualTo(now);
                freeAt.put(engine.get(), now + TimeUnit.MILLISECONDS.toNanos(millis + 10));
                entry.begin(engine.get(), tokens, MILLIS_PER_TOKEN, now);
                prefills++;
            }
        }
        assertThat(prefills).isGreaterThan(200);
    }
}
