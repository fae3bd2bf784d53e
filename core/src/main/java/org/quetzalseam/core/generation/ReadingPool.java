package org.quetzalseam.core.generation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Where one entry has prompts read, and whether it is worth beginning. Not thread-safe; time is passed in, in nanoseconds.
 *
 * <p>Entries don't talk to each other about this: each judges engines by its own answers. A prompt goes where it is predicted to
 * be read first. One that can't be in time is begun only while the backlog is so short that those who come after it still can,
 * so that under any load the engines read what somebody collects in time.
 *
 * @param <E> the engines
 */
public final class ReadingPool<E> {
    /** How many times longer than predicted a reading may take before anything is learnt; fades within some fifty readings. */
    private static final double FIRST_SURPRISE = 4;
    /** Weight that the largest surprise keeps with each reading. */
    private static final double SURPRISE_KEPT = 0.98;
    /** Silence that counts as death, in multiples of the longest surprise: a slower reading than any lately is no death. */
    private static final double BEYOND_SURPRISE = 2;
    /** Weight of the newest reading in the usual figures: about the last twenty count. */
    private static final double NEWEST = 0.05;
    /** Part of the objective that backlog may take up before the late are kept out: the other half is for those in time. */
    private static final double LATE_SHARE = 0.5;
    /**
     * Part of the objective that reading a prompt is assumed to take before anything is learnt: an objective that leaves no room
     * for a queue would be met by no pool. Too low, it lets some tens of prompts too many begin; too high, the first answer ends it.
     */
    private static final double FIRST_SHARE = 0.25;
    /** Prompts of the usual size that wait at an engine that counts as idle: less than what reads just now. */
    private static final double IDLE_PROMPTS = 0.5;
    /** Prompts an engine that are begun before any has been read: one that reads, and one that follows. */
    private static final int UNTRIED_PROMPTS = 2;
    /** Prompts of the usual size that may wait before the late are kept out, where the objective is shorter than that. */
    private static final double LATE_PROMPTS = 1;

    private final Map<E, ReadingPace> engines = new HashMap<>();
    private double usualPace;
    private double usualTokens;
    private double firstEventMillis;
    private int answers;
    private boolean heard;
    private int untried;
    private double missMillis;
    private double surprise = FIRST_SURPRISE;
    private final ReadingShare share = new ReadingShare();

    /**
     * What a caller is owed. Immutable.
     *
     * @param inTimeMillis how long its first event may still take and meet the objective; not above 0 if it is late already
     * @param leftMillis how long an answer is of use to it
     * @param objectiveMillis the whole objective
     */
    public record Due(double inTimeMillis, double leftMillis, double objectiveMillis) {}

    /** Whether a prompt is begun, and what speaks against it. */
    public enum Verdict {
        /** It is begun. */
        BEGIN,
        /** Its first event would come after its caller has left. */
        CALLER_LEAVES_SOONER,
        /** It would be late, and so would those who come after it. */
        QUEUE_TOO_LONG,
        /** No answer has shown yet how fast the engines read, and enough prompts have been sent to find out. */
        PACE_UNKNOWN,
        /** This entry has begun its part of what the engines can read, and their answers show no room for more. */
        SHARE_SPENT
    }

    /** A prompt under way. */
    public final class Reading {
        private final E engine;
        private final ReadingPace pace;
        private final ReadingPace.Reading reading;

        Reading(E engine, ReadingPace pace, ReadingPace.Reading reading) {
            this.engine = engine;
            this.pace = pace;
            this.reading = reading;
        }

        /** Returns when it was predicted to be read, in milliseconds from its beginning; 0 while nothing is known. */
        public double predictedMillis() {
            return reading.predictedMillis();
        }

        /** Notes that it is read. */
        public void read(long now, double tookMillis, double objectiveMillis) {
            double expected = Math.max(predictedMillis(), reading(usualTokens));
            heard = true;
            pace.read(reading, now, usualPace);
            share.took(tookMillis, reading.tokens() * pace.millisPerToken(), objectiveMillis - firstEventMillis, now);
            missMillis += NEWEST * (Math.max(0, tookMillis - predictedMillis()) - missMillis);
            if (expected > 0) {
                surprise = Math.max(surprise * SURPRISE_KEPT, Math.max(1, tookMillis / expected));
            }
            answers++;
            usualPace += Math.max(NEWEST, 1.0 / answers) * (pace.millisPerToken() - usualPace);
        }

        /** Notes that it won't be read: given up, or failed. */
        public void ended() {
            untried--;
            pace.ended(reading);
        }

        /**
         * Returns whether to begin it anew elsewhere: its engine has been silent for much longer than slowness explains, and
         * another would have read it in less than it has been waited for already. One that hasn't answered meanwhile may be as
         * slow: it counts after twice the silence.
         *
         * @param others the engines that may read it
         * @param gone whether its engine isn't listed any more
         * @param now the monotonic time, in nanoseconds
         */
        public boolean lost(Collection<E> others, boolean gone, long now) {
            double silent = pace.silentMillis(reading, now);
            double limit = gone ? silenceMillis() / BEYOND_SURPRISE : silenceMillis();
            return silent > limit
                    && others.stream()
                            .filter(other -> !other.equals(engine))
                            .filter(other -> pace(other).heardSince(reading)
                                    || (pace(other).heard() && silent > BEYOND_SURPRISE * limit))
                            .anyMatch(other -> endMillis(other, reading.tokens(), now) * surprise < silent);
        }

        /** Returns the silence from which the engine may be taken for dead, in milliseconds; 0 while nothing is known. */
        public double silenceMillis() {
            return BEYOND_SURPRISE * surprise * Math.max(predictedMillis(), reading(usualTokens));
        }
    }

    /** Returns the engine that is predicted to have read a prompt first; {@code ties} orders equals. */
    public Optional<E> best(Collection<E> usable, int tokens, long now, Comparator<E> ties) {
        return usable.stream()
                .min(Comparator.<E>comparingDouble(engine -> endMillis(engine, tokens, now))
                        .thenComparing(ties));
    }

    /** Returns whether a prompt is worth beginning at an engine. */
    public Verdict judge(E engine, int engineCount, int tokens, Due due, long now) {
        double wait = waitMillis(engine, now);
        double first = endMillis(engine, tokens, now) + firstEventMillis;
        boolean inTime = first + missMillis <= due.inTimeMillis();
        double bearable = bearableMillis(due.objectiveMillis());
        if (first > due.leftMillis()) {
            return Verdict.CALLER_LEAVES_SOONER;
        }
        if (!inTime && wait > bearable) {
            return Verdict.QUEUE_TOO_LONG;
        }
        if (!heard) {
            return untried < UNTRIED_PROMPTS * engineCount ? Verdict.BEGIN : Verdict.PACE_UNKNOWN;
        }
        boolean idle = wait < IDLE_PROMPTS * reading(usualTokens);
        boolean allowed = (idle && share.plenty())
                || share.allows(engineCount / usualPace, bearable, inTime ? 0 : LATE_SHARE, now);
        return allowed ? Verdict.BEGIN : Verdict.SHARE_SPENT;
    }

    /** Returns the usual time for a token in milliseconds; 0 before any prompt has been read. */
    public double millisPerToken() {
        return heard ? usualPace : 0;
    }

    /** Returns what is left of this entry's share as of the last verdict, in tokens; below 0 it is a debt. */
    public double shareLeft() {
        return share.left();
    }

    /** Returns how long a prompt waits at an engine before it is read, in milliseconds. */
    public double queueMillis(E engine, long now) {
        return waitMillis(engine, now);
    }

    /** Returns when the backlog lets in a prompt that isn't worth beginning now, in milliseconds. */
    public double comeBackMillis(E engine, double objectiveMillis, long now) {
        return Math.max(
                reading(usualTokens), waitMillis(engine, now) - bearableMillis(objectiveMillis) + reading(usualTokens));
    }

    /** The backlog that leaves those who come next in time. */
    private double bearableMillis(double objectiveMillis) {
        return Math.max(LATE_SHARE * (objectiveMillis - firstEventMillis), LATE_PROMPTS * reading(usualTokens));
    }

    /** Begins a prompt at an engine. */
    public Reading begin(E engine, int tokens, long now, double objectiveMillis) {
        if (usualPace == 0) {
            usualPace = FIRST_SHARE * objectiveMillis / Math.max(1, tokens);
        }
        usualTokens = usualTokens == 0 ? tokens : usualTokens + NEWEST * (tokens - usualTokens);
        untried++;
        ReadingPace pace = pace(engine);
        share.take(tokens);
        return new Reading(engine, pace, pace.begin(tokens, now, usualPace));
    }

    /** Notes how long a first event took after its prompt was read. */
    public void firstEvent(double millis) {
        firstEventMillis += NEWEST * (millis - firstEventMillis);
    }

    /** Returns how long reading and first event take after a prompt is sent to an engine, in milliseconds. */
    public double firstEventMillis(E engine, int tokens, long now) {
        return endMillis(engine, tokens, now) + firstEventMillis;
    }

    /** Returns how long it takes until a prompt is read that is sent to the engine now, in milliseconds. */
    public double endMillis(E engine, int tokens, long now) {
        return pace(engine).endMillis(tokens, now, usualPace);
    }

    private double waitMillis(E engine, long now) {
        return pace(engine).waitMillis(now, usualPace);
    }

    private double reading(double tokens) {
        return tokens * usualPace;
    }

    /** Sets among how many entries the engines are shared. */
    public void entries(int counted) {
        share.entries(counted);
    }

    /** Forgets engines that are gone. */
    public void forget(Predicate<E> gone) {
        engines.keySet().removeIf(gone);
    }

    private ReadingPace pace(E engine) {
        return engines.computeIfAbsent(engine, added -> new ReadingPace());
    }
}
