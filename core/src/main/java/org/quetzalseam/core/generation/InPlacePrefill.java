package org.quetzalseam.core.generation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Selects a decode engine that may prefill a prompt itself, between the tokens of the streams that it runs. Not
 * thread-safe; times are monotonic and passed in, in nanoseconds.
 *
 * <p>Such a prefill delays every stream of its engine. Two that overlap delay them for longer than their callers are
 * promised, and entries do not see each other's prefills. So each engine is assigned to one entry for this purpose, and
 * that entry leaves time between two prefills in which the streams go on.
 *
 * @param <E> the type of engines
 */
public final class InPlacePrefill<E> {
    /**
     * Prefill time of a decode engine, as a multiple of what the answers of a prefill engine show. A decode engine
     * prefills at half the speed, but the answer times of a prefill engine also include fixed parts and a queue, which
     * take as long again.
     */
    private static final double TIME_RATIO = 1;
    /** Share of the longest acceptable pause that a prefill may take: the tokens between its chunks take the rest. */
    private static final double PAUSE_SHARE = 0.75;
    /**
     * Time from the start of one prefill to the next, in predicted prefill times: after each the streams go on for as
     * long.
     */
    private static final double SPACING_RATIO = 2;

    private final Map<E, Long> freeAt = new HashMap<>();
    private int entries;
    private int rank;

    /**
     * Sets the number of entries among which the engines are divided and this entry's rank, from 0. Before the first
     * call no engine is assigned to this entry.
     */
    public void updateEntries(int entryCount, int entryRank) {
        entries = entryCount;
        rank = entryRank;
    }

    /**
     * Returns an engine that may prefill a prompt now.
     *
     * @param decoders all decode engines
     * @param id returns an engine's id; all entries have to see the same order of ids
     * @param tokens the prompt's length in tokens
     * @param millisPerToken a prefill engine's time for a token; 0 while it is unknown
     * @param pauseMillis the longest pause between events that meets the objective; 0 where there is no such objective
     * @param now the monotonic time
     */
    public Optional<E> selectEngine(
            List<E> decoders, Function<E, String> id, int tokens, double millisPerToken, double pauseMillis, long now) {
        double millis = predictMillis(tokens, millisPerToken);
        if (entries == 0 || millis <= 0 || millis > PAUSE_SHARE * pauseMillis) {
            return Optional.empty();
        }
        List<E> sorted = new ArrayList<>(decoders);
        sorted.sort(Comparator.comparing(id));
        for (int i = rank; i < sorted.size(); i += entries) {
            if (now - freeAt.getOrDefault(sorted.get(i), now) >= 0) {
                return Optional.of(sorted.get(i));
            }
        }
        return Optional.empty();
    }

    private static double predictMillis(int tokens, double millisPerToken) {
        return TIME_RATIO * tokens * millisPerToken;
    }

    /** Records that a prompt is sent to an engine. */
    public void begin(E engine, int tokens, double millisPerToken, long now) {
        long spacing =
                Math.round(SPACING_RATIO * predictMillis(tokens, millisPerToken) * TimeUnit.MILLISECONDS.toNanos(1));
        freeAt.put(engine, now + spacing);
    }

    /** Removes the engines that match. */
    public void removeEngines(Predicate<E> removed) {
        freeAt.keySet().removeIf(removed);
    }
}
