package org.quetzalseam.gateway.limit;

import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Incarnation;
import org.quetzalseam.core.limits.EndpointLimit;
import org.quetzalseam.core.limits.EndpointPermits;
import org.quetzalseam.core.limits.KnownLimit;
import org.quetzalseam.core.limits.PermitAnswer;
import org.quetzalseam.core.limits.PermitAsk;
import org.quetzalseam.core.limits.PermitPeers;
import org.quetzalseam.gateway.endpoint.Directory;
import org.quetzalseam.gateway.endpoint.Endpoint;
import org.quetzalseam.gateway.entry.EntryList;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.peer.PermitIssuer;
import org.quetzalseam.gateway.runtime.ScheduledCall;
import org.quetzalseam.gateway.runtime.Timers;

/** Asks, and answers, which requests may be sent to endpoints that state limits. Used on the event loop only. */
public final class EndpointLimits implements PermitIssuer {
    /**
     * Time after which a question that was passed on to another entry counts as unanswered, in milliseconds: the entry that asked
     * first waits longer than that.
     */
    private static final long RELAY_TIMEOUT_MILLIS = 60;
    /** Interval at which schedules that nobody uses are forgotten, in milliseconds. */
    private static final long FORGET_INTERVAL_MILLIS = 10_000;

    private final Timers timers;
    private final Directory directory;
    private final Peers peers;
    private final EndpointPermits permits;

    /** Receives the decision on requests to an endpoint that states a limit. */
    public interface Listener {
        /** Called when the requests may be sent, which they must be at once. */
        void granted();

        /**
         * Called when the requests may not be sent.
         *
         * @param retryAfterMillis time after which asking again is of use
         */
        void refused(long retryAfterMillis);
    }

    /** Creates the limits of an entry that knows no other entries yet. */
    public EndpointLimits(Timers timers, Directory directory, Peers peers, String self) {
        this.timers = timers;
        this.directory = directory;
        this.peers = peers;
        this.permits = new EndpointPermits(self, new Links(), timers::now, this::ownKnowledge);
        directory.onLimitLifted(endpoint -> permits.tellLifted(
                endpoint.member().incarnation(), endpoint.limits().known(timers.now())));
        timers.every(FORGET_INTERVAL_MILLIS, permits::forgetUnused);
    }

    private @Nullable EndpointLimit ownKnowledge(Incarnation incarnation) {
        return directory
                .find(incarnation)
                .map(endpoint -> endpoint.limits().limit())
                .orElse(null);
    }

    /** Records that other entries can ask this one. */
    public void answersPeers() {
        permits.decides(true);
    }

    /** Records a list of the entries. */
    public void listed(EntryList list) {
        permits.entries(list.entries());
    }

    /** Sets whether other entries may not know this one yet. */
    public void newcomer(boolean mayBeUnknown) {
        permits.newcomer(mayBeUnknown);
    }

    /**
     * Asks to send requests to an endpoint that states a limit.
     *
     * @param requests how many, to be sent together
     * @param maxWaitMillis how long they can wait
     * @param listener receives the decision, at once or later
     */
    public PermitRequest ask(Endpoint endpoint, int requests, long maxWaitMillis, Listener listener) {
        return ask(PermitAsk.Kind.SEND, endpoint, requests, maxWaitMillis, listener);
    }

    /** Asks when the caller of a request that was refused should return; the listener receives it as a refusal. */
    public PermitRequest askReturn(Endpoint endpoint, long maxWaitMillis, Listener listener) {
        return ask(PermitAsk.Kind.RETURN, endpoint, 1, maxWaitMillis, listener);
    }

    private PermitRequest ask(
            PermitAsk.Kind kind, Endpoint endpoint, int requests, long maxWaitMillis, Listener listener) {
        KnownLimit known = endpoint.limits().known(timers.now());
        PermitRequest request = new PermitRequest(timers, endpoint, listener);
        PermitAsk ask = new PermitAsk(
                kind,
                endpoint.member().incarnation(),
                requests,
                TimeUnit.MILLISECONDS.toNanos(maxWaitMillis),
                known,
                false);
        permits.ask(ask, request::answered);
        return request;
    }

    @Override
    public void answer(PermitAsk ask, Consumer<PermitAnswer> answered) {
        permits.answer(ask, answered);
    }

    /** Returns the inputs of a decision on a limited endpoint as {@code key=value} pairs for the log. */
    public String describe(Endpoint endpoint) {
        long now = timers.now();
        EndpointLimit limit = endpoint.limits().limit();
        return String.format(
                Locale.ROOT,
                "endpoint=%s limit_per_s=%.3f limit_age_ms=%d next_ms=%d",
                endpoint.member().id(),
                limit.perSecond(),
                TimeUnit.NANOSECONDS.toMillis(now - limit.knownAt()),
                TimeUnit.NANOSECONDS.toMillis(endpoint.limits().backoff().waitNanos(now)));
    }

    private final class Links implements PermitPeers {
        @Override
        public Collection<String> names() {
            return peers.names();
        }

        @Override
        public boolean usable(String peer) {
            return peers.usable(peer);
        }

        @Override
        public long unreachableNanos(String peer) {
            return peers.unreachableNanos(peer);
        }

        @Override
        public void ask(String peer, PermitAsk ask, Consumer<Optional<PermitAnswer>> answered) {
            if (!ask.relayed()) {
                peers.askPermit(peer, ask, answered);
                return;
            }
            FirstAnswer first = new FirstAnswer(answered);
            first.timeout = timers.after(RELAY_TIMEOUT_MILLIS, () -> first.accept(Optional.empty()));
            peers.askPermit(peer, ask, first);
        }
    }

    /** Passes on the first of an answer and a timeout. */
    private static final class FirstAnswer implements Consumer<Optional<PermitAnswer>> {
        private final Consumer<Optional<PermitAnswer>> answered;
        private @Nullable ScheduledCall timeout;
        private boolean done;

        FirstAnswer(Consumer<Optional<PermitAnswer>> answered) {
            this.answered = answered;
        }

        @Override
        public void accept(Optional<PermitAnswer> answer) {
            if (done) {
                return;
            }
            done = true;
            ScheduledCall pending = timeout;
            if (pending != null) {
                pending.cancel();
            }
            answered.accept(answer);
        }
    }
}
