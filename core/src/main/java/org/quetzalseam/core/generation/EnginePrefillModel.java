package org.quetzalseam.core.generation;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How fast one engine reads prompts, and how much it has to read before a new one, as one entry can tell from its own calls. Not
 * thread-safe.
 *
 * <p>What an answer took is split in two: what this entry's own prompts account for at the learnt pace, and the rest, which
 * others have put before them. A prompt that is overdue tells as much as an answer.
 */
final class EnginePrefillModel {
    /** Weight of a reading faster than the learnt pace: load only ever slows a reading, so a fast one is near the truth. */
    private static final double FASTER_WEIGHT = 0.5;
    /** Weight of a slower one, which others' prompts may have delayed: an engine that turns slow shows in what others have waiting meanwhile. */
    private static final double SLOWER_WEIGHT = 0.03;
    /** Weight of the newest answer in what others have waiting: it is older than the answer by a queue's length already. */
    private static final double NEWEST_BACKLOG_WEIGHT = 0.5;

    private final Deque<Prefill> inProgress = new ArrayDeque<>();
    private double millisPerToken;
    private double othersBacklogMillis;
    private long othersBacklogAt;
    private long lastCompletedAt;
    private boolean hasCompletedAny;

    /** One prompt under way at an engine. */
    static final class Prefill {
        private final int tokens;
        private final long begunAt;
        private final double aheadMillis;
        private final double predictedMillis;

        Prefill(int tokens, long begunAt, double ahead, double predicted) {
            this.tokens = tokens;
            this.begunAt = begunAt;
            this.aheadMillis = ahead;
            this.predictedMillis = predicted;
        }

        int tokens() {
            return tokens;
        }

        double predictedMillis() {
            return predictedMillis;
        }
    }

    /** Returns the learnt time for a token in milliseconds, or 0 while nothing is known. */
    double millisPerToken() {
        return millisPerToken;
    }

    Prefill begin(int tokens, long now, double usualPace) {
        Prefill reading =
                new Prefill(tokens, now, ownBacklogMillis(now, usualPace), completionMillis(tokens, now, usualPace));
        inProgress.add(reading);
        return reading;
    }

    /** Notes that a prompt was read. */
    void completed(Prefill reading, long now, double usualPace) {
        if (!inProgress.remove(reading)) {
            return;
        }
        double took = millis(now - reading.begunAt);
        updatePace(reading, took, usualPace);
        double before = Math.max(0, took - reading.aheadMillis - reading.tokens * millisPerToken);
        double known = othersBacklogMillis(now);
        othersBacklogMillis = known + NEWEST_BACKLOG_WEIGHT * (before - known);
        othersBacklogAt = now;
        lastCompletedAt = now;
        hasCompletedAny = true;
    }

    /** Notes that a prompt is given up or has failed. */
    void aborted(Prefill reading) {
        inProgress.remove(reading);
    }

    private void updatePace(Prefill reading, double took, double usualPace) {
        double most = took / Math.max(1, reading.tokens);
        if (millisPerToken == 0) {
            millisPerToken = usualPace;
        }
        if (most < millisPerToken) {
            millisPerToken += (hasCompletedAny ? FASTER_WEIGHT : 1) * (most - millisPerToken);
        } else if (reading.aheadMillis == 0) {
            millisPerToken += SLOWER_WEIGHT * (most - millisPerToken);
        }
    }

    /** Returns how long a prompt waits that is sent now, in milliseconds. */
    double waitMillis(long now, double usualPace) {
        return ownBacklogMillis(now, usualPace) + Math.max(othersBacklogMillis(now), overdueMillis(now));
    }

    /** Returns how long it takes until a prompt is read that is sent now, in milliseconds. */
    double completionMillis(int tokens, long now, double usualPace) {
        return waitMillis(now, usualPace) + tokens * pace(usualPace);
    }

    /** Returns whether the engine has ever read a prompt. */
    boolean hasCompletedAny() {
        return hasCompletedAny;
    }

    /** Returns whether the engine has read a prompt since another one was begun, wherever that was. */
    boolean hasCompletedSince(Prefill other) {
        return hasCompletedAny && lastCompletedAt - other.begunAt > 0;
    }

    /** Returns for how long the engine has answered nothing while it had the prompt, in milliseconds. */
    double unresponsiveMillis(Prefill reading, long now) {
        long since = hasCompletedAny && lastCompletedAt - reading.begunAt > 0 ? lastCompletedAt : reading.begunAt;
        return millis(now - since);
    }

    private double pace(double usualPace) {
        return millisPerToken == 0 ? usualPace : millisPerToken;
    }

    private double ownBacklogMillis(long now, double usualPace) {
        Prefill oldest = inProgress.peekFirst();
        if (oldest == null) {
            return 0;
        }
        int tokens = inProgress.stream().mapToInt(reading -> reading.tokens).sum();
        double done = Math.min(unresponsiveMillis(oldest, now), oldest.tokens * pace(usualPace));
        return tokens * pace(usualPace) - done;
    }

    /** What others have waiting, without news: who sees a long queue adds nothing, so the engine works it off at its pace. */
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
