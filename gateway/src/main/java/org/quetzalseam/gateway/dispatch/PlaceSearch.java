package org.quetzalseam.gateway.dispatch;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.dispatch.PlaceOutcome;
import org.quetzalseam.core.dispatch.PlaceRequest;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.gateway.peer.PeerPlace;
import org.quetzalseam.gateway.peer.PlaceAnswer;
import org.quetzalseam.gateway.peer.PlaceAsk;
import org.quetzalseam.gateway.runtime.ScheduledCall;

/**
 * One request for a place, from the question to the dispatcher to the end of the place. Used on the event loop only.
 *
 * <p>A dispatcher that declines, or whose connection ends, is replaced by the next candidate. One that is silent is not: the request has
 * spent its time and is sent without a place.
 */
public final class PlaceSearch {
    /**
     * Time in which a dispatcher answers, in milliseconds: several round trips within a region and pauses of a busy event loop, and
     * a small part of the shortest objectives.
     */
    static final long ANSWER_TIMEOUT_MILLIS = 30;

    /** Receives the decision, once, possibly before {@link #start} returns. */
    public interface Listener {
        /** Called when the request has a place, whose end must be reported with {@link PlaceSearch#ended}. */
        void granted(Incarnation endpoint);

        /**
         * Called when the request gets no place.
         *
         * @param retryAfterMillis time after which a caller that returns is expected to be served
         * @param inputs what decided, as {@code key=value} pairs for the log
         */
        void refused(long retryAfterMillis, String inputs);

        /**
         * Called when nobody decides, so that the request is sent as if there were no dispatcher.
         *
         * @param inputs why, as {@code key=value} pairs for the log
         */
        void undecided(String inputs);
    }

    private final Dispatchers dispatchers;
    private final DispatchGroup group;
    private final PlaceRequest request;
    private final Listener listener;
    private final List<String> order;
    private final long createdAt;
    private int next;
    private @Nullable Question current;
    private @Nullable PeerPlace granted;

    PlaceSearch(Dispatchers dispatchers, DispatchGroup group, PlaceRequest request, Listener listener) {
        this.dispatchers = dispatchers;
        this.group = group;
        this.request = request;
        this.listener = listener;
        this.order = dispatchers.order(group);
        this.createdAt = dispatchers.timers().now();
    }

    /** Asks for the place. */
    public void start() {
        askNext("no-dispatcher");
    }

    private void askNext(String why) {
        current = null;
        while (next < order.size()) {
            String candidate = order.get(next++);
            if (dispatchers.mayAsk(candidate, group)) {
                Question question = new Question(candidate);
                current = question;
                question.ask();
                return;
            }
        }
        undecided(why, "");
    }

    private void undecided(String why, String dispatcher) {
        dispatchers.count(group, "undecided");
        listener.undecided("why=" + why + " dispatcher=" + dispatcher + " group=" + group.number());
    }

    /** Returns the question with the times that are left now. */
    private PlaceAsk aged() {
        long ageNanos = dispatchers.timers().now() - createdAt;
        PlaceRequest aged = new PlaceRequest(
                request.ticket(),
                request.teamPriority(),
                request.routePriority(),
                request.team(),
                request.objectiveNanos(),
                request.inTimeNanos() - ageNanos,
                request.usefulNanos() - ageNanos,
                request.waitedNanos(),
                request.tokens(),
                request.excluded());
        return new PlaceAsk(group.service(), group.number(), aged);
    }

    /** Reports how the use of the place ended. Does nothing if the request has no place, or its end was reported already. */
    public void ended(PlaceOutcome outcome, long responseNanos) {
        PeerPlace place = granted;
        granted = null;
        if (place != null) {
            place.end(outcome, responseNanos);
        }
    }

    /** Drops the request, or its place if that has not ended; the listener is not called any more. */
    public void cancel() {
        Question question = current;
        current = null;
        if (question != null) {
            question.drop();
        }
        ended(PlaceOutcome.NOT_SENT, 0);
    }

    /** The question to one candidate. */
    private final class Question {
        private final String candidate;
        private PeerPlace place = (outcome, responseNanos) -> {};
        private @Nullable ScheduledCall timeout;
        private boolean waits;

        Question(String candidate) {
            this.candidate = candidate;
        }

        void ask() {
            expectWithin(ANSWER_TIMEOUT_MILLIS);
            dispatchers.ask(candidate, aged(), asked -> place = asked, this::receive);
        }

        private void expectWithin(long millis) {
            stopTimeout();
            timeout = dispatchers.timers().after(millis, this::timedOut);
        }

        private void stopTimeout() {
            ScheduledCall timer = timeout;
            if (timer != null) {
                timer.cancel();
            }
        }

        void drop() {
            stopTimeout();
            place.end(PlaceOutcome.NOT_SENT, 0);
        }

        private void timedOut() {
            if (current != this) {
                return;
            }
            current = null;
            dispatchers.avoid(candidate);
            drop();
            undecided(waits ? "no-decision" : "no-answer", candidate);
        }

        private void receive(Optional<PlaceAnswer> received) {
            if (current != this) {
                return;
            }
            stopTimeout();
            if (received.isEmpty()) {
                askNext("connection-lost");
                return;
            }
            PlaceAnswer answer = received.get();
            if (answer.decision() == PlaceAnswer.Decision.DECLINED) {
                dispatchers.recordDeclined(candidate, group);
                askNext("declined");
                return;
            }
            dispatchers.recordDecides(candidate, group);
            if (answer.decision() == PlaceAnswer.Decision.WAITING) {
                waits = true;
                expectWithin(TimeUnit.NANOSECONDS.toMillis(answer.durationNanos()) + ANSWER_TIMEOUT_MILLIS);
                return;
            }
            current = null;
            decided(answer);
        }

        private void decided(PlaceAnswer answer) {
            if (answer.decision() == PlaceAnswer.Decision.GRANTED) {
                granted = place;
                dispatchers.count(group, "granted");
                listener.granted(answer.endpoint());
            } else {
                dispatchers.count(group, "refused");
                listener.refused(
                        TimeUnit.NANOSECONDS.toMillis(answer.durationNanos()),
                        "dispatcher=" + candidate + " group=" + group.number() + " " + answer.inputs());
            }
        }
    }
}
