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
 * Which decode engine may read a prompt itself, between the tokens of the streams that it runs. Not thread-safe; time is passed in,
 * in nanoseconds.
 *
 * <p>Such a reading holds up every stream of its engine. Two that overlap hold them up for longer than their callers are
 * promised, and entries don't see each other's. So each engine is one entry's for this purpose, and that entry leaves time between
 * two readings in which the streams go on.
 *
 * @param <E> the engines
 */
public final class InPlacePrefill<E> {
    /**
     * How long a decode engine takes for a prompt, in multiples of what a prefill engine's answers show for it. A decode engine
     * reads at half the speed, but an answer's time has fixed parts and a queue in it as well, which take as long again.
     */
    private static final double TIME_RATIO = 1;
    /** Part of the longest pause in time that a reading may take up: the tokens between its pieces take the rest. */
    private static final double PAUSE_SHARE = 0.75;
    /** From one reading's beginning to the next, in predicted readings: after each the streams go on for as long. */
    private static final double SPACING_RATIO = 2;

    private final Map<E, Long> freeAt = new HashMap<>();
    private int entries;
    private int rank;

    /** Sets among how many entries the engines are divided; until then no engine is this entry's. Ranks count from 0. */
    public void updateEntries(int counted, int place) {
        entries = counted;
        rank = place;
    }

    /**
     * Returns an engine that may read a prompt now.
     *
     * @param decoders all decode engines
     * @param id an engine's id: all entries have to see the same order
     * @param tokens the prompt's length
     * @param millisPerToken a prefill engine's time for a token; 0 while it isn't known
     * @param pauseMillis the longest pause between events that is in time; 0 where there is no such objective
     * @param now the monotonic time
     */
    public Optional<E> selectEngine(
            List<E> decoders, Function<E, String> id, int tokens, double millisPerToken, double pauseMillis, long now) {
        double millis = predictMillis(tokens, millisPerToken);
        if (entries == 0 || millis <= 0 || millis > PAUSE_SHARE * pauseMillis) {
            return Optional.empty();
        }
        List<E> all = new ArrayList<>(decoders);
        all.sort(Comparator.comparing(id));
        for (int i = rank; i < all.size(); i += entries) {
            if (now - freeAt.getOrDefault(all.get(i), now) >= 0) {
                return Optional.of(all.get(i));
            }
        }
        return Optional.empty();
    }

    private static double predictMillis(int tokens, double millisPerToken) {
        return TIME_RATIO * tokens * millisPerToken;
    }

    /** Notes that a prompt is on its way to an engine. */
    public void begin(E engine, int tokens, double millisPerToken, long now) {
        long spacing =
                Math.round(SPACING_RATIO * predictMillis(tokens, millisPerToken) * TimeUnit.MILLISECONDS.toNanos(1));
        freeAt.put(engine, now + spacing);
    }

    /** Forgets engines that are gone. */
    public void removeEngines(Predicate<E> gone) {
        freeAt.keySet().removeIf(gone);
    }
}
