package org.quetzalseam.core.drain;

import org.quetzalseam.core.generation.OutputLengthModel;

/** Predicts how long answers of one route take, from the answers recorded. Not thread-safe. */
public final class AnswerTimeModel {
    /**
     * Minimum number of answers before a bound is given. With fewer, the model relies on its assumptions more than on
     * recorded answers; a busy route has this many within seconds.
     */
    private static final int MIN_ANSWERS = 8;

    private final OutputLengthModel model = new OutputLengthModel();
    private int answers;

    /**
     * Records a complete answer.
     *
     * @param estimate the caller's estimate of its size, in any unit; the same for all where callers give none
     * @param millis how long it took from its beginning to its end
     */
    public void recordAnswer(double estimate, long millis) {
        model.recordLength(Math.max(1, estimate), (double) Math.max(1, millis));
        answers++;
    }

    /**
     * Returns the time within which an answer ends, in milliseconds, or {@link Long#MAX_VALUE} while too few have been
     * recorded.
     *
     * @param estimate the caller's estimate of its size
     * @param deviations how many standard deviations above the median: 1.28 for nine in ten
     */
    public long boundMillis(double estimate, double deviations) {
        if (answers < MIN_ANSWERS) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil(model.boundLength(Math.max(1, estimate), deviations));
    }
}
