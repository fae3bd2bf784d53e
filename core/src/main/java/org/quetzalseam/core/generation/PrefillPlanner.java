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
public final class PrefillPlanner<E> {
    /** How many times longer than predicted a reading may take before anything is learnt; fades within some fifty readings. */
    private static final double FIRST_OVERRUN_RATIO = 4;
    /** Weight that the largest surprise keeps with each reading. */
    private static final double OVERRUN_RATIO_DECAY = 0.98;
    /** Silence that counts as death, in multiples of the longest surprise: a slower reading than any lately is no death. */
    private static final double UNRESPONSIVE_RATIO = 2;
    /** Weight of the newest reading in the usual figures: about the last twenty count. */
    private static final double NEWEST_WEIGHT = 0.05;
    /** Part of the objective that backlog may take up before the late are kept out: the other half is for those in time. */
    private static final double LATE_BACKLOG_SHARE = 0.5;
    /**
     * Part of the objective that reading a prompt is assumed to take before anything is learnt: an objective that leaves no room
     * for a queue would be met by no pool. Too low, it lets some tens of prompts too many begin; too high, the first answer ends it.
     */
    private static final double ASSUMED_PREFILL_SHARE = 0.25;
    /** Prompts of the usual size that wait at an engine that counts as idle: less than what reads just now. */
    private static final double IDLE_PROMPTS = 0.5;
    /** Prompts an engine that are begun before any has been read: one that reads, and one that follows. */
    private static final int TRIAL_PROMPTS_PER_ENGINE = 2;
    /** Prompts of the usual size that may wait before the late are kept out, where the objective is shorter than that. */
    private static final double LATE_BACKLOG_PROMPTS = 1;

    private final Map<E, EnginePrefillModel> models = new HashMap<>();
    private double meanPace;
    private double meanTokens;
    private double firstEventMillis;
    private int completedPrefills;
    private boolean hasCompletedAny;
    private int trialPrompts;
    private double meanOverrunMillis;
    private double maxOverrunRatio = FIRST_OVERRUN_RATIO;
    private final EntryPrefillShare share = new EntryPrefillShare();

    /**
     * What a caller is owed. Immutable.
     *
     * @param untilObjectiveMillis how long its first event may still take and meet the objective; not above 0 if it is late already
     * @param untilAbandonedMillis how long an answer is of use to it
     * @param objectiveMillis the whole objective
     */
    public record Deadline(double untilObjectiveMillis, double untilAbandonedMillis, double objectiveMillis) {}

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
    public final class Prefill {
        private final E engine;
        private final EnginePrefillModel model;
        private final EnginePrefillModel.Prefill prefill;

        Prefill(E engine, EnginePrefillModel pace, EnginePrefillModel.Prefill reading) {
            this.engine = engine;
            this.model = pace;
            this.prefill = reading;
        }

        /** Returns when it was predicted to be read, in milliseconds from its beginning; 0 while nothing is known. */
        public double predictedMillis() {
            return prefill.predictedMillis();
        }

        /** Notes that it is read. */
        public void completed(long now, double tookMillis, double objectiveMillis) {
            double expected = Math.max(predictedMillis(), meanPrefillMillis(meanTokens));
            hasCompletedAny = true;
            model.completed(prefill, now, meanPace);
            share.recordPrefill(
                    tookMillis, prefill.tokens() * model.millisPerToken(), objectiveMillis - firstEventMillis, now);
            meanOverrunMillis += NEWEST_WEIGHT * (Math.max(0, tookMillis - predictedMillis()) - meanOverrunMillis);
            if (expected > 0) {
                maxOverrunRatio = Math.max(maxOverrunRatio * OVERRUN_RATIO_DECAY, Math.max(1, tookMillis / expected));
            }
            completedPrefills++;
            meanPace += Math.max(NEWEST_WEIGHT, 1.0 / completedPrefills) * (model.millisPerToken() - meanPace);
        }

        /** Notes that it won't be read: given up, or failed. */
        public void aborted() {
            trialPrompts--;
            model.aborted(prefill);
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
        public boolean shouldRetryElsewhere(Collection<E> others, boolean gone, long now) {
            double silent = model.unresponsiveMillis(prefill, now);
            double limit = gone ? unresponsiveLimitMillis() / UNRESPONSIVE_RATIO : unresponsiveLimitMillis();
            return silent > limit
                    && others.stream()
                            .filter(other -> !other.equals(engine))
                            .filter(other -> model(other).hasCompletedSince(prefill)
                                    || (model(other).hasCompletedAny() && silent > UNRESPONSIVE_RATIO * limit))
                            .anyMatch(other ->
                                    predictCompletionMillis(other, prefill.tokens(), now) * maxOverrunRatio < silent);
        }

        /** Returns the silence from which the engine may be taken for dead, in milliseconds; 0 while nothing is known. */
        public double unresponsiveLimitMillis() {
            return UNRESPONSIVE_RATIO * maxOverrunRatio * Math.max(predictedMillis(), meanPrefillMillis(meanTokens));
        }
    }

    /** Returns the engine that is predicted to have read a prompt first; {@code ties} orders equals. */
    public Optional<E> selectEngine(Collection<E> usable, int tokens, long now, Comparator<E> ties) {
        return usable.stream()
                .min(Comparator.<E>comparingDouble(engine -> predictCompletionMillis(engine, tokens, now))
                        .thenComparing(ties));
    }

    /** Returns whether a prompt is worth beginning at an engine. */
    public Verdict judge(E engine, int engineCount, int tokens, Deadline due, long now) {
        double wait = waitMillis(engine, now);
        double first = predictCompletionMillis(engine, tokens, now) + firstEventMillis;
        boolean inTime = first + meanOverrunMillis <= due.untilObjectiveMillis();
        double bearable = maxBacklogMillis(due.objectiveMillis());
        if (first > due.untilAbandonedMillis()) {
            return Verdict.CALLER_LEAVES_SOONER;
        }
        if (!inTime && wait > bearable) {
            return Verdict.QUEUE_TOO_LONG;
        }
        if (!hasCompletedAny) {
            return trialPrompts < TRIAL_PROMPTS_PER_ENGINE * engineCount ? Verdict.BEGIN : Verdict.PACE_UNKNOWN;
        }
        boolean idle = wait < IDLE_PROMPTS * meanPrefillMillis(meanTokens);
        boolean allowed = (idle && share.hasSurplus())
                || share.allows(engineCount / meanPace, bearable, inTime ? 0 : LATE_BACKLOG_SHARE, now);
        return allowed ? Verdict.BEGIN : Verdict.SHARE_SPENT;
    }

    /** Returns the usual time for a token in milliseconds; 0 before any prompt has been read. */
    public double millisPerToken() {
        return hasCompletedAny ? meanPace : 0;
    }

    /** Returns what is left of this entry's share as of the last verdict, in tokens; below 0 it is a debt. */
    public double shareLeft() {
        return share.remainingTokens();
    }

    /** Returns how long a prompt waits at an engine before it is read, in milliseconds. */
    public double queueMillis(E engine, long now) {
        return waitMillis(engine, now);
    }

    /** Returns when the backlog lets in a prompt that isn't worth beginning now, in milliseconds. */
    public double retryAfterMillis(E engine, double objectiveMillis, long now) {
        return Math.max(
                meanPrefillMillis(meanTokens),
                waitMillis(engine, now) - maxBacklogMillis(objectiveMillis) + meanPrefillMillis(meanTokens));
    }

    /** The backlog that leaves those who come next in time. */
    private double maxBacklogMillis(double objectiveMillis) {
        return Math.max(
                LATE_BACKLOG_SHARE * (objectiveMillis - firstEventMillis),
                LATE_BACKLOG_PROMPTS * meanPrefillMillis(meanTokens));
    }

    /** Begins a prompt at an engine. */
    public Prefill begin(E engine, int tokens, long now, double objectiveMillis) {
        if (meanPace == 0) {
            meanPace = ASSUMED_PREFILL_SHARE * objectiveMillis / Math.max(1, tokens);
        }
        meanTokens = meanTokens == 0 ? tokens : meanTokens + NEWEST_WEIGHT * (tokens - meanTokens);
        trialPrompts++;
        EnginePrefillModel pace = model(engine);
        share.spend(tokens);
        return new Prefill(engine, pace, pace.begin(tokens, now, meanPace));
    }

    /** Notes how long a first event took after its prompt was read. */
    public void recordFirstEvent(double millis) {
        firstEventMillis += NEWEST_WEIGHT * (millis - firstEventMillis);
    }

    /** Returns how long reading and first event take after a prompt is sent to an engine, in milliseconds. */
    public double predictFirstEventMillis(E engine, int tokens, long now) {
        return predictCompletionMillis(engine, tokens, now) + firstEventMillis;
    }

    /** Returns how long it takes until a prompt is read that is sent to the engine now, in milliseconds. */
    public double predictCompletionMillis(E engine, int tokens, long now) {
        return model(engine).completionMillis(tokens, now, meanPace);
    }

    private double waitMillis(E engine, long now) {
        return model(engine).waitMillis(now, meanPace);
    }

    private double meanPrefillMillis(double tokens) {
        return tokens * meanPace;
    }

    /** Sets among how many entries the engines are shared. */
    public void updateEntryCount(int counted) {
        share.updateEntryCount(counted);
    }

    /** Forgets engines that are gone. */
    public void removeEngines(Predicate<E> gone) {
        models.keySet().removeIf(gone);
    }

    private EnginePrefillModel model(E engine) {
        return models.computeIfAbsent(engine, added -> new EnginePrefillModel());
    }
}
