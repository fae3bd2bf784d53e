package org.quetzalseam.core.drain;

import org.quetzalseam.core.generation.OutputLengthModel;

/** Learns how long the answers of one route take, so that the next one's end can be foretold. Not thread-safe. */
public final class AnswerTimeModel {
    /**
     * Answers before the first bound is given. Below that the model rests on its assumptions more than on what it has seen; a busy
     * route has them within seconds.
     */
    private static final int MIN_ANSWERS = 8;

    private final OutputLengthModel model = new OutputLengthModel();
    private int answers;

    /**
     * Notes a whole answer.
     *
     * @param estimate what the caller said of its size, in any unit; the same for all where callers say nothing
     * @param millis how long it took, from the moment at which it was begun to its end
     */
    public void recordAnswer(double estimate, long millis) {
        model.recordLength(Math.max(1, estimate), (double) Math.max(1, millis));
        answers++;
    }

    /**
     * Returns the time that an answer ends within, in milliseconds, or {@link Long#MAX_VALUE} as long as too few have been seen.
     *
     * @param estimate what the caller says of its size
     * @param deviations how sure that is, in standard deviations: 1.28 for nine in ten
     */
    public long boundMillis(double estimate, double deviations) {
        if (answers < MIN_ANSWERS) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil(model.boundLength(Math.max(1, estimate), deviations));
    }
}
