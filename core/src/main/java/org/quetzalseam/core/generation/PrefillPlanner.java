package org.quetzalseam.core.generation;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Decides at which engine one entry has a prompt prefilled, and whether to begin at all. Not thread-safe; times are
 * monotonic and passed in, in nanoseconds.
 *
 * <p>Entries do not communicate about this: each judges engines by its own answers. A prompt goes to the engine that is
 * predicted to complete its prefill first. A prompt that cannot be in time is begun only while the backlog is so short
 * that later prompts still can, so that under any load the engines prefill prompts whose callers still wait for the
 * answer.
 *
 * <p>A pace is in milliseconds per token.
 *
 * @param <E> the type of engines
 */
public final class PrefillPlanner<E> {
    /**
     * Initial value of the largest overrun, the ratio of a prefill's time to its prediction; decays within some fifty
     * prefills.
     */
    private static final double FIRST_OVERRUN_RATIO = 4;
    /** Factor applied to the largest overrun with each prefill. */
    private static final double OVERRUN_RATIO_DECAY = 0.98;
    /**
     * Time without an answer after which an engine counts as unresponsive, as a multiple of the time with the largest
     * overrun: a prefill that is merely slower than any recent one does not count.
     */
    private static final double UNRESPONSIVE_RATIO = 2;
    /** Weight of the newest prefill in the means: about the last twenty count. */
    private static final double NEWEST_WEIGHT = 0.05;
    /**
     * Share of the objective that the backlog may take before late prompts are refused: the other half is for those in
     * time.
     */
    private static final double LATE_BACKLOG_SHARE = 0.5;
    /**
     * Share of the objective that a prefill is assumed to take before the first answer: no pool could meet an objective
     * that leaves no room for a queue. If this is too low, some tens of prompts too many begin; if it is too high, the
     * first answer corrects it.
     */
    private static final double ASSUMED_PREFILL_SHARE = 0.25;
    /**
     * Backlog below which an engine counts as idle, in prompts of mean size: less than the prompt that is being
     * prefilled.
     */
    private static final double IDLE_PROMPTS = 0.5;
    /** Prompts per engine that are begun before any prefill has completed: one in progress and one that follows. */
    private static final int TRIAL_PROMPTS_PER_ENGINE = 2;
    /**
     * Backlog before late prompts are refused, in prompts of mean size, where the objective's share is shorter than
     * that.
     */
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
     * Time that is left for a prompt's first event. Immutable.
     *
     * @param untilObjectiveMillis how long its first event may still take to meet the objective; 0 or negative if it is
     *     already late
     * @param untilAbandonedMillis how long the caller keeps waiting
     * @param objectiveMillis the whole objective
     */
    public record Deadline(double untilObjectiveMillis, double untilAbandonedMillis, double objectiveMillis) {}

    /** Whether a prompt's prefill is begun, or why not. */
    public enum Verdict {
        /** The prefill is begun. */
        BEGIN,
        /** Its first event would come after its caller has stopped waiting. */
        CALLER_LEAVES_SOONER,
        /** It would be late, and so would the prompts after it. */
        QUEUE_TOO_LONG,
        /** No answer has shown yet how fast the engines prefill, and enough prompts have been sent to find out. */
        PACE_UNKNOWN,
        /** This entry has used its share of the engines' prefill rate, and their answers show no room for more. */
        SHARE_SPENT
    }

    /** A prefill in progress. */
    public final class Prefill {
        private final E engine;
        private final EnginePrefillModel model;
        private final EnginePrefillModel.Prefill prefill;

        Prefill(E engine, EnginePrefillModel model, EnginePrefillModel.Prefill prefill) {
            this.engine = engine;
            this.model = model;
            this.prefill = prefill;
        }

        /** Returns the predicted time from its beginning to its completion, in milliseconds; 0 if nothing was known. */
        public double predictedMillis() {
            return prefill.predictedMillis();
        }

        /** Records that it has completed. */
        public void completed(long now, double tookMillis, double objectiveMillis) {
            double expectedMillis = Math.max(predictedMillis(), meanPrefillMillis(meanTokens));
            hasCompletedAny = true;
            model.completed(prefill, now, meanPace);
            share.recordPrefill(
                    tookMillis, prefill.tokens() * model.millisPerToken(), objectiveMillis - firstEventMillis, now);
            meanOverrunMillis += NEWEST_WEIGHT * (Math.max(0, tookMillis - predictedMillis()) - meanOverrunMillis);
            if (expectedMillis > 0) {
                maxOverrunRatio =
                        Math.max(maxOverrunRatio * OVERRUN_RATIO_DECAY, Math.max(1, tookMillis / expectedMillis));
            }
            completedPrefills++;
            meanPace += Math.max(NEWEST_WEIGHT, 1.0 / completedPrefills) * (model.millisPerToken() - meanPace);
        }

        /** Records that it will not complete, because it was cancelled or has failed. */
        public void aborted() {
            trialPrompts--;
            model.aborted(prefill);
        }

        /**
         * Returns whether to retry it at another engine: its engine has been unresponsive for much longer than slowness
         * explains, and another engine would complete it in less time than that. An engine that has not answered since
         * this prefill began may be as slow, so it is considered only after twice the time.
         *
         * @param others the engines that may prefill it
         * @param removed whether its engine is no longer listed
         * @param now the monotonic time, in nanoseconds
         */
        public boolean shouldRetryElsewhere(Collection<E> others, boolean removed, long now) {
            double unresponsiveMillis = model.unresponsiveMillis(prefill, now);
            double limitMillis = removed ? unresponsiveLimitMillis() / UNRESPONSIVE_RATIO : unresponsiveLimitMillis();
            return unresponsiveMillis > limitMillis
                    && others.stream()
                            .filter(other -> !other.equals(engine))
                            .filter(other -> model(other).hasCompletedSince(prefill)
                                    || (model(other).hasCompletedAny()
                                            && unresponsiveMillis > UNRESPONSIVE_RATIO * limitMillis))
                            .anyMatch(other -> predictCompletionMillis(other, prefill.tokens(), now) * maxOverrunRatio
                                    < unresponsiveMillis);
        }

        /**
         * Returns the time without an answer after which the engine counts as unresponsive, in milliseconds; 0 while
         * nothing is known.
         */
        public double unresponsiveLimitMillis() {
            return UNRESPONSIVE_RATIO * maxOverrunRatio * Math.max(predictedMillis(), meanPrefillMillis(meanTokens));
        }
    }

    /** Returns the engine that is predicted to complete a prompt's prefill first; {@code ties} orders equals. */
    public Optional<E> selectEngine(Collection<E> usable, int tokens, long now, Comparator<E> ties) {
        return usable.stream()
                .min(Comparator.<E>comparingDouble(engine -> predictCompletionMillis(engine, tokens, now))
                        .thenComparing(ties));
    }

    /** Decides whether to begin a prompt's prefill at an engine. */
    public Verdict judge(E engine, int engineCount, int tokens, Deadline deadline, long now) {
        double waitMillis = waitMillis(engine, now);
        double firstMillis = predictCompletionMillis(engine, tokens, now) + firstEventMillis;
        boolean inTime = firstMillis + meanOverrunMillis <= deadline.untilObjectiveMillis();
        double maxBacklog = maxBacklogMillis(deadline.objectiveMillis());
        if (firstMillis > deadline.untilAbandonedMillis()) {
            return Verdict.CALLER_LEAVES_SOONER;
        }
        if (!inTime && waitMillis > maxBacklog) {
            return Verdict.QUEUE_TOO_LONG;
        }
        if (!hasCompletedAny) {
            return trialPrompts < TRIAL_PROMPTS_PER_ENGINE * engineCount ? Verdict.BEGIN : Verdict.PACE_UNKNOWN;
        }
        boolean idle = waitMillis < IDLE_PROMPTS * meanPrefillMillis(meanTokens);
        boolean allowed = (idle && share.hasSurplus())
                || share.allows(engineCount / meanPace, maxBacklog, inTime ? 0 : LATE_BACKLOG_SHARE, now);
        return allowed ? Verdict.BEGIN : Verdict.SHARE_SPENT;
    }

    /** Returns the mean prefill time for a token in milliseconds; 0 before any prefill has completed. */
    public double millisPerToken() {
        return hasCompletedAny ? meanPace : 0;
    }

    /** Returns the tokens that remain of this entry's share as of the last verdict; a negative number is a debt. */
    public double shareLeft() {
        return share.remainingTokens();
    }

    /** Returns how long a prompt is predicted to wait at an engine before its prefill, in milliseconds. */
    public double queueMillis(E engine, long now) {
        return waitMillis(engine, now);
    }

    /** Returns the time after which the backlog allows a prompt that is refused now, in milliseconds. */
    public double retryAfterMillis(E engine, double objectiveMillis, long now) {
        return Math.max(
                meanPrefillMillis(meanTokens),
                waitMillis(engine, now) - maxBacklogMillis(objectiveMillis) + meanPrefillMillis(meanTokens));
    }

    /** Returns the longest backlog behind which later prompts can still be in time, in milliseconds. */
    private double maxBacklogMillis(double objectiveMillis) {
        return Math.max(
                LATE_BACKLOG_SHARE * (objectiveMillis - firstEventMillis),
                LATE_BACKLOG_PROMPTS * meanPrefillMillis(meanTokens));
    }

    /** Begins a prompt's prefill at an engine. */
    public Prefill begin(E engine, int tokens, long now, double objectiveMillis) {
        if (meanPace == 0) {
            meanPace = ASSUMED_PREFILL_SHARE * objectiveMillis / Math.max(1, tokens);
        }
        meanTokens = meanTokens == 0 ? tokens : meanTokens + NEWEST_WEIGHT * (tokens - meanTokens);
        trialPrompts++;
        EnginePrefillModel model = model(engine);
        share.spend(tokens);
        return new Prefill(engine, model, model.begin(tokens, now, meanPace));
    }

    /** Records the time from the completion of a prefill to the first event. */
    public void recordFirstEvent(double millis) {
        firstEventMillis += NEWEST_WEIGHT * (millis - firstEventMillis);
    }

    /** Predicts the time from sending a prompt to an engine to its first event, in milliseconds. */
    public double predictFirstEventMillis(E engine, int tokens, long now) {
        return predictCompletionMillis(engine, tokens, now) + firstEventMillis;
    }

    /** Predicts the time from sending a prompt to an engine to the completion of its prefill, in milliseconds. */
    public double predictCompletionMillis(E engine, int tokens, long now) {
        return model(engine).completionMillis(tokens, now, meanPace);
    }

    private double waitMillis(E engine, long now) {
        return model(engine).waitMillis(now, meanPace);
    }

    private double meanPrefillMillis(double tokens) {
        return tokens * meanPace;
    }

    /** Sets the number of entries that share the engines. */
    public void updateEntryCount(int entryCount) {
        share.updateEntryCount(entryCount);
    }

    /** Removes the engines that match. */
    public void removeEngines(Predicate<E> removed) {
        models.keySet().removeIf(removed);
    }

    private EnginePrefillModel model(E engine) {
        return models.computeIfAbsent(engine, added -> new EnginePrefillModel());
    }
}
