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
final class ReadingPace {
    /** Weight of a reading faster than the learnt pace: load only ever slows a reading, so a fast one is near the truth. */
    private static final double FASTER = 0.5;
    /** Weight of a slower one, which others' prompts may have delayed: an engine that turns slow shows in what others have waiting meanwhile. */
    private static final double SLOWER = 0.03;
    /** Weight of the newest answer in what others have waiting: it is older than the answer by a queue's length already. */
    private static final double NEWEST_WAIT = 0.5;

    private final Deque<Reading> underWay = new ArrayDeque<>();
    private double millisPerToken;
    private double others;
    private long othersAt;
    private long heardAt;
    private boolean heard;

    /** One prompt under way at an engine. */
    static final class Reading {
        private final int tokens;
        private final long begunAt;
        private final double ahead;
        private final double predicted;

        Reading(int tokens, long begunAt, double ahead, double predicted) {
            this.tokens = tokens;
            this.begunAt = begunAt;
            this.ahead = ahead;
            this.predicted = predicted;
        }

        int tokens() {
            return tokens;
        }

        double predictedMillis() {
            return predicted;
        }
    }

    /** Returns the learnt time for a token in milliseconds, or 0 while nothing is known. */
    double millisPerToken() {
        return millisPerToken;
    }

    Reading begin(int tokens, long now, double usualPace) {
        Reading reading = new Reading(tokens, now, ownMillis(now, usualPace), endMillis(tokens, now, usualPace));
        underWay.add(reading);
        return reading;
    }

    /** Notes that a prompt was read. */
    void read(Reading reading, long now, double usualPace) {
        if (!underWay.remove(reading)) {
            return;
        }
        double took = millis(now - reading.begunAt);
        learnPace(reading, took, usualPace);
        double before = Math.max(0, took - reading.ahead - reading.tokens * millisPerToken);
        double known = faded(now);
        others = known + NEWEST_WAIT * (before - known);
        othersAt = now;
        heardAt = now;
        heard = true;
    }

    /** Notes that a prompt is given up or has failed. */
    void ended(Reading reading) {
        underWay.remove(reading);
    }

    private void learnPace(Reading reading, double took, double usualPace) {
        double most = took / Math.max(1, reading.tokens);
        if (millisPerToken == 0) {
            millisPerToken = usualPace;
        }
        if (most < millisPerToken) {
            millisPerToken += (heard ? FASTER : 1) * (most - millisPerToken);
        } else if (reading.ahead == 0) {
            millisPerToken += SLOWER * (most - millisPerToken);
        }
    }

    /** Returns how long a prompt waits that is sent now, in milliseconds. */
    double waitMillis(long now, double usualPace) {
        return ownMillis(now, usualPace) + Math.max(faded(now), overdue(now));
    }

    /** Returns how long it takes until a prompt is read that is sent now, in milliseconds. */
    double endMillis(int tokens, long now, double usualPace) {
        return waitMillis(now, usualPace) + tokens * pace(usualPace);
    }

    /** Returns whether the engine has ever read a prompt. */
    boolean heard() {
        return heard;
    }

    /** Returns whether the engine has read a prompt since another one was begun, wherever that was. */
    boolean heardSince(Reading other) {
        return heard && heardAt - other.begunAt > 0;
    }

    /** Returns for how long the engine has answered nothing while it had the prompt, in milliseconds. */
    double silentMillis(Reading reading, long now) {
        long since = heard && heardAt - reading.begunAt > 0 ? heardAt : reading.begunAt;
        return millis(now - since);
    }

    private double pace(double usualPace) {
        return millisPerToken == 0 ? usualPace : millisPerToken;
    }

    private double ownMillis(long now, double usualPace) {
        Reading oldest = underWay.peekFirst();
        if (oldest == null) {
            return 0;
        }
        int tokens = underWay.stream().mapToInt(reading -> reading.tokens).sum();
        double done = Math.min(silentMillis(oldest, now), oldest.tokens * pace(usualPace));
        return tokens * pace(usualPace) - done;
    }

    /** What others have waiting, without news: who sees a long queue adds nothing, so the engine works it off at its pace. */
    private double faded(long now) {
        return Math.max(0, others - millis(now - othersAt));
    }

    private double overdue(long now) {
        Reading oldest = underWay.peekFirst();
        if (oldest == null || millisPerToken == 0) {
            return 0;
        }
        return Math.max(0, millis(now - oldest.begunAt) - oldest.ahead - oldest.tokens * millisPerToken);
    }

    private static double millis(long nanos) {
        return nanos / 1e6;
    }
}
