package org.quetzalseam.core.generation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Estimates how fast one engine prefills prompts, and how long its backlog before a new prompt is, from the calls of
 * one entry. Not thread-safe; times are monotonic and passed in, in nanoseconds.
 *
 * <p>The time of an answer is split in two: the part that this entry's own prompts account for at the estimated pace,
 * and the rest, which is the backlog of other entries' prompts before them. An overdue prompt shows as much as an
 * answer. A pace is in milliseconds per token; {@code meanPace} is that of all engines, used while this engine's own is
 * unknown.
 */
final class EnginePrefillModel {
    /**
     * Weight of a prefill faster than the estimated pace: load can only slow a prefill, so a fast one is near the true
     * pace.
     */
    private static final double FASTER_WEIGHT = 0.5;
    /**
     * Weight of a slower one, which other entries' prompts may have delayed: until the pace follows, an engine that has
     * become slow shows as a longer backlog of others.
     */
    private static final double SLOWER_WEIGHT = 0.03;
    /**
     * Weight of the newest answer in the backlog of others: what it shows is already older than the answer by the time
     * in queue.
     */
    private static final double NEWEST_BACKLOG_WEIGHT = 0.5;

    private final Deque<Prefill> inProgress = new ArrayDeque<>();
    private double millisPerToken;
    private double othersBacklogMillis;
    private long othersBacklogAt;
    private long lastCompletedAt;
    private boolean hasCompletedAny;

    /** One prefill in progress at the engine. */
    static final class Prefill {
        private final int tokens;
        private final long begunAt;
        private final double aheadMillis;
        private final double predictedMillis;

        Prefill(int tokens, long begunAt, double aheadMillis, double predictedMillis) {
            this.tokens = tokens;
            this.begunAt = begunAt;
            this.aheadMillis = aheadMillis;
            this.predictedMillis = predictedMillis;
        }

        int tokens() {
            return tokens;
        }

        double predictedMillis() {
            return predictedMillis;
        }
    }

    /** Returns the estimated time for a token in milliseconds, or 0 while nothing is known. */
    double millisPerToken() {
        return millisPerToken;
    }

    Prefill begin(int tokens, long now, double meanPace) {
        Prefill prefill =
                new Prefill(tokens, now, ownBacklogMillis(now, meanPace), completionMillis(tokens, now, meanPace));
        inProgress.add(prefill);
        return prefill;
    }

    /** Records that a prefill has completed. */
    void completed(Prefill prefill, long now, double meanPace) {
        if (!inProgress.remove(prefill)) {
            return;
        }
        double tookMillis = millis(now - prefill.begunAt);
        updatePace(prefill, tookMillis, meanPace);
        double othersMillis = Math.max(0, tookMillis - prefill.aheadMillis - prefill.tokens * millisPerToken);
        double knownMillis = othersBacklogMillis(now);
        othersBacklogMillis = knownMillis + NEWEST_BACKLOG_WEIGHT * (othersMillis - knownMillis);
        othersBacklogAt = now;
        lastCompletedAt = now;
        hasCompletedAny = true;
    }

    /** Records that a prefill was cancelled or has failed. */
    void aborted(Prefill prefill) {
        inProgress.remove(prefill);
    }

    private void updatePace(Prefill prefill, double tookMillis, double meanPace) {
        double maxPace = tookMillis / Math.max(1, prefill.tokens);
        if (millisPerToken == 0) {
            millisPerToken = meanPace;
        }
        if (maxPace < millisPerToken) {
            millisPerToken += (hasCompletedAny ? FASTER_WEIGHT : 1) * (maxPace - millisPerToken);
        } else if (prefill.aheadMillis == 0) {
            millisPerToken += SLOWER_WEIGHT * (maxPace - millisPerToken);
        }
    }

    /** Returns how long a prompt that is sent now is predicted to wait before its prefill, in milliseconds. */
    double waitMillis(long now, double meanPace) {
        return ownBacklogMillis(now, meanPace) + Math.max(othersBacklogMillis(now), overdueMillis(now));
    }

    /**
     * Returns how long after now the prefill of a prompt that is sent now is predicted to complete, in milliseconds.
     */
    double completionMillis(int tokens, long now, double meanPace) {
        return waitMillis(now, meanPace) + tokens * pace(meanPace);
    }

    /** Returns whether the engine has completed any prefill. */
    boolean hasCompletedAny() {
        return hasCompletedAny;
    }

    /** Returns whether the engine has completed a prefill since another one was begun, at any engine. */
    boolean hasCompletedSince(Prefill other) {
        return hasCompletedAny && lastCompletedAt - other.begunAt > 0;
    }

    /** Returns for how long the engine has completed no prefill while it had the prompt, in milliseconds. */
    double unresponsiveMillis(Prefill prefill, long now) {
        long since = hasCompletedAny && lastCompletedAt - prefill.begunAt > 0 ? lastCompletedAt : prefill.begunAt;
        return millis(now - since);
    }

    private double pace(double meanPace) {
        return millisPerToken == 0 ? meanPace : millisPerToken;
    }

    private double ownBacklogMillis(long now, double meanPace) {
        Prefill oldest = inProgress.peekFirst();
        if (oldest == null) {
            return 0;
        }
        int tokens = inProgress.stream().mapToInt(prefill -> prefill.tokens).sum();
        double doneMillis = Math.min(unresponsiveMillis(oldest, now), oldest.tokens * pace(meanPace));
        return tokens * pace(meanPace) - doneMillis;
    }

    /**
     * Returns the backlog of others, decayed since the last answer: entries that see a long queue add nothing to it, so
     * the engine works it off as time passes.
     */
    private double othersBacklogMillis(long now) {
        return Math.max(0, othersBacklogMillis - millis(now - othersBacklogAt));
    }

    private double overdueMillis(long now) {
        Prefill oldest = inProgress.peekFirst();
        if (oldest == null || millisPerToken == 0) {
            return 0;
        }
        return Math.max(0, millis(now - oldest.begunAt) - oldest.aheadMillis - oldest.tokens * millisPerToken);
    }

    private static double millis(long nanos) {
        return nanos / 1e6;
    }
}
