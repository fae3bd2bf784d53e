package org.quetzalseam.gateway.peer;

import java.util.function.Consumer;
import org.quetzalseam.core.dispatch.PlaceOutcome;

/** Decides which requests of other entries get places at endpoints. Used on the event loop only. */
public interface PlaceIssuer {
    /** Decides for no group. */
    PlaceIssuer NONE = new PlaceIssuer() {
        @Override
        public void ask(String connection, long number, PlaceAsk ask, Consumer<PlaceAnswer> answered) {
            answered.accept(PlaceAnswer.DECLINED);
        }

        @Override
        public void ended(String connection, long number, PlaceOutcome outcome, long responseNanos) {}

        @Override
        public void closed(String connection) {}
    };

    /**
     * Answers a request for a place.
     *
     * @param connection identifies the connection that the request came over
     * @param number number of the request, unique on its connection
     * @param answered receives the answer, at once or later, and another one after {@link PlaceAnswer.Decision#WAITING}
     */
    void ask(String connection, long number, PlaceAsk ask, Consumer<PlaceAnswer> answered);

    /** Records that a place is not used any more, or that a request for one is dropped. */
    void ended(String connection, long number, PlaceOutcome outcome, long responseNanos);

    /** Records that a connection has ended, and with it all that belongs to it. */
    void closed(String connection);
}
