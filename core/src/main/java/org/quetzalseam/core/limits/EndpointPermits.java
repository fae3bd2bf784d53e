package org.quetzalseam.core.limits;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.fleet.Incarnation;

/**
 * Decides, together with the other entries, which requests may be sent to endpoints that state limits. Not thread-safe.
 *
 * <p>For each endpoint one entry spaces the requests of all, see {@link PermitIssuers}; the others ask it. An entry that is asked
 * and knows of one that comes before it passes the question on, so that entries whose lists differ end at the same one. Nothing is
 * saved up at entries that only ask, so restarts, pauses and lost messages waste permits and create none.
 */
public final class EndpointPermits {
    /** When to ask again if no entry can be asked, in nanoseconds: entries are tried again about as often. */
    private static final long NOBODY_RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** How long an entry is not asked after it declined to decide, in nanoseconds. */
    private static final long DECLINED_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** How long the schedule of an endpoint is kept after its last use, in nanoseconds. */
    private static final long KEEP_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final String self;
    private final PermitPeers peers;
    private final LongSupplier clock;
    private final Function<Incarnation, @Nullable EndpointLimit> ownKnowledge;
    private final Map<Incarnation, Issued> issued = new HashMap<>();
    /** The entries to ask, by the id of the endpoint; empty after each change of the entries. */
    private final Map<String, List<String>> orders = new HashMap<>();
    /** When entries declined to decide. */
    private final Map<String, Long> declinedAt = new HashMap<>();

    private boolean listed;
    private int entries = RetryAllowance.ASSUMED_ENTRIES;
    private boolean decides;
    private boolean newcomer;

    private static final class Issued {
        private final EndpointLimit heard = new EndpointLimit();
        private @Nullable PermitSchedule schedule;
        private long usedAt;
    }

    /**
     * Creates permits of an entry that knows no others yet.
     *
     * @param self name of this entry
     * @param peers the other entries
     * @param clock monotonic time in nanoseconds
     * @param ownKnowledge returns what this entry has learnt of an endpoint's limit itself, or null if it doesn't know the endpoint
     */
    public EndpointPermits(
            String self,
            PermitPeers peers,
            LongSupplier clock,
            Function<Incarnation, @Nullable EndpointLimit> ownKnowledge) {
        this.self = self;
        this.peers = peers;
        this.clock = clock;
        this.ownKnowledge = ownKnowledge;
    }

    /** Sets whether other entries can ask this one, so that it may decide for all. */
    public void decides(boolean canBeAsked) {
        decides = canBeAsked;
        orders.clear();
    }

    /** Sets the number of entries, this one included. */
    public void entries(int counted) {
        listed = true;
        entries = counted;
        orders.clear();
    }

    /** Sets whether other entries may not know this one yet, so that it must not decide for all. */
    public void newcomer(boolean mayBeUnknown) {
        if (newcomer != mayBeUnknown) {
            newcomer = mayBeUnknown;
            orders.clear();
        }
    }

    /** Asks for this entry's own requests. */
    public void ask(PermitAsk ask, Consumer<PermitAnswer> answered) {
        if (!listed || peers.names().isEmpty()) {
            answered.accept(issue(ask, 1.0 / entries, phaseOfOwnPart(ask)));
            return;
        }
        new Search(ask, answered).askNext();
    }

    /** Tells the entry that decides for an endpoint that the endpoint states no limit any more; it tells those that ask it. */
    public void tellLifted(Incarnation endpoint, KnownLimit known) {
        ask(new PermitAsk(PermitAsk.Kind.SEND, endpoint, 1, 0, known, false), answer -> {});
    }

    /**
     * Returns when this entry begins to use an equal part of the limit, which it does only if it can't ask others: all entries
     * would else begin at once.
     */
    private double phaseOfOwnPart(PermitAsk ask) {
        return entries == 1
                ? 0
                : Integer.toUnsignedLong((self + ask.endpoint()).hashCode()) % entries / (double) entries;
    }

    /** Answers the question of another entry. */
    public void answer(PermitAsk ask, Consumer<PermitAnswer> answered) {
        if (newcomer || !decides) {
            answered.accept(new PermitAnswer(Permit.declined(), ask.known()));
        } else if (ask.relayed()) {
            answered.accept(issue(ask, shareBefore(order(ask)), 0));
        } else {
            new Search(ask.relay(), answered).askNext();
        }
    }

    private List<String> order(PermitAsk ask) {
        return orders.computeIfAbsent(
                ask.endpoint().id(),
                endpoint -> PermitIssuers.order(peers.names(), self, decides && !newcomer, endpoint));
    }

    /** Returns the part of the limit that this entry may use, by how long the entries before it have been unreachable. */
    private double shareBefore(List<String> order) {
        int position = order.indexOf(self);
        return PermitIssuers.share(order.subList(0, Math.max(0, position)).stream()
                .filter(name -> !declinedLately(name))
                .map(peers::unreachableNanos)
                .toList());
    }

    private boolean declinedLately(String name) {
        Long at = declinedAt.get(name);
        return at != null && clock.getAsLong() - at < DECLINED_NANOS;
    }

    /** Asks one entry after the other until one decides. */
    private final class Search {
        private final PermitAsk ask;
        private final Consumer<PermitAnswer> answered;
        private final List<String> order;
        private final List<Long> unreachableNanos = new ArrayList<>();
        private int next;

        Search(PermitAsk ask, Consumer<PermitAnswer> answered) {
            this.ask = ask;
            this.answered = answered;
            this.order = order(ask);
        }

        void askNext() {
            if (next == order.size()) {
                answered.accept(nobodyDecides());
                return;
            }
            String candidate = order.get(next++);
            if (candidate.equals(self)) {
                answered.accept(issue(ask, PermitIssuers.share(unreachableNanos), 0));
            } else if (declinedLately(candidate)) {
                askNext();
            } else if (peers.usable(candidate)) {
                peers.ask(candidate, ask, answer -> receive(candidate, answer));
            } else {
                unreachableNanos.add(peers.unreachableNanos(candidate));
                askNext();
            }
        }

        /**
         * Answers if no entry decides: if all that were asked are as new as this one, each uses a part of the limit, and all together
         * no more than one that decides in place of another.
         */
        private PermitAnswer nobodyDecides() {
            return unreachableNanos.isEmpty()
                    ? issue(ask, PermitIssuers.SUBSTITUTE_SHARE / entries, phaseOfOwnPart(ask))
                    : new PermitAnswer(Permit.refused(NOBODY_RETRY_NANOS), ask.known());
        }

        private void receive(String candidate, Optional<PermitAnswer> answer) {
            if (answer.isEmpty()) {
                unreachableNanos.add(peers.unreachableNanos(candidate));
                askNext();
            } else if (answer.get().permit().kind() == Permit.Kind.DECLINED) {
                declinedAt.put(candidate, clock.getAsLong());
                askNext();
            } else {
                answered.accept(answer.get());
            }
        }
    }

    private PermitAnswer issue(PermitAsk ask, double share, double phase) {
        long now = clock.getAsLong();
        Issued state = issued.computeIfAbsent(ask.endpoint(), endpoint -> new Issued());
        state.usedAt = now;
        EndpointLimit own = ownKnowledge.apply(ask.endpoint());
        EndpointLimit known = own == null ? state.heard : own;
        known.recordHeard(
                ask.known().limited(),
                ask.known().perSecond(),
                now - ask.known().ageNanos());
        KnownLimit told = new KnownLimit(known.limited(), known.perSecond(), Math.max(0, now - known.knownAt()));
        if (!known.limited()) {
            state.schedule = null;
            return new PermitAnswer(Permit.granted(0), told);
        }
        PermitSchedule schedule = state.schedule;
        if (schedule == null) {
            schedule = new PermitSchedule(known.perSecond(), share, phase, now);
            state.schedule = schedule;
        } else {
            schedule.update(known.perSecond(), share, now);
        }
        Permit permit = ask.kind() == PermitAsk.Kind.SEND
                ? schedule.ask(ask.requests(), ask.maxWaitNanos(), now)
                : schedule.askReturn(ask.requests(), ask.maxWaitNanos(), now);
        return new PermitAnswer(permit, told);
    }

    /** Forgets the schedules of endpoints that nobody has asked for lately. */
    public void forgetUnused() {
        long now = clock.getAsLong();
        issued.values().removeIf(state -> now - state.usedAt > KEEP_NANOS);
        declinedAt.values().removeIf(at -> now - at > DECLINED_NANOS);
    }
}
