package org.quetzalseam.core.drain;

import org.quetzalseam.core.generation.OutputLengthModel;

/** Learns how long the answers of one route take, so that the next one's end can be foretold. Not thread-safe. */
public final class AnswerTime {
    /**
     * Answers before the first bound is given. Below that the model rests on its assumptions more than on what it has seen; a busy
     * route has them within seconds.
     */
    private static final int ENOUGH = 8;

    private final OutputLengthModel model = new OutputLengthModel();
    private int seen;

    /**
     * Notes a whole answer.
     *
     * @param estimate what the caller said of its size, in any unit; the same for all where callers say nothing
     * @param millis how long it took, from the moment at which it was begun to its end
     */
    public void ended(double estimate, long millis) {
        model.ended(Math.max(1, estimate), (double) Math.max(1, millis));
        seen++;
    }

    /**
     * Returns the time that an answer ends within, in milliseconds, or {@link Long#MAX_VALUE} as long as too few have been seen.
     *
     * @param estimate what the caller says of its size
     * @param deviations how sure that is, in standard deviations: 1.28 for nine in ten
     */
    public long boundMillis(double estimate, double deviations) {
        if (seen < ENOUGH) {
            return Long.MAX_VALUE;
        }
        return (long) Math.ceil(model.length(Math.max(1, estimate), deviations));
    }
}
