package org.quetzalseam.core.dispatch;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Locale;
import java.util.Optional;
import java.util.Queue;
import java.util.function.Supplier;

/**
 * Gives the places at the endpoints of a plain service. The number of places at an endpoint is learnt from its answers. Requests that can be
 * in time go first, by priority; places that they can't use go to requests that can only be late, as long as their answers are of use. Not
 * thread-safe.
 */
public final class CallQueue implements PlaceQueue {
    /**
     * One place in this many goes to the late request whose caller has waited longest. Without it, a caller that returns as told would never
     * be served while the overload lasts. It costs 2.5 % of the answers in time, a quarter of what the goal of 0.9 leaves.
     */
    private static final int LONGEST_WAITING_EVERY = 40;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final Listener listener;
    private final WaitingCalls waiting;
    private final EndpointGroup group;
    private final ShortestObjective objective;
    private final RequestRate inTimeRate;
    private final ReturnSchedule returns;
    private final Queue<Runnable> decisions = new ArrayDeque<>();
    private boolean notifying;
    private int granted;

    /** Creates a queue without endpoints. */
    public CallQueue(Listener listener, long now) {
        this(listener, new AdaptiveLifo(), ResponseTimeLimit::new, now);
    }

    CallQueue(Listener listener, CallOrder order, Supplier<LimitControl> controls, long now) {
        this.listener = listener;
        this.waiting = new WaitingCalls(order);
        this.group = new EndpointGroup(controls);
        this.objective = new ShortestObjective(now);
        this.inTimeRate = new RequestRate(now);
        this.returns = new ReturnSchedule(now);
    }

    @Override
    public void endpoints(Collection<PlaceCapacity> usable, long now) {
        group.replace(usable, now);
        decide(now);
    }

    @Override
    public void submit(PlaceRequest request, long now) {
        objective.add(request.objectiveNanos(), now);
        WaitingCall call = new WaitingCall(request, now);
        if (!group.serves(request)) {
            refuse(call, 0, "no-endpoint", now);
        } else if (call.inTime(Math.max(1, group.responseNanos()), now)) {
            inTimeRate.add(now);
            waiting.addInTime(call);
        } else {
            submitLate(call, now);
        }
        decide(now);
    }

    @Override
    public void cancel(Ticket ticket, long now) {
        waiting.remove(ticket);
    }

    @Override
    public void ended(Ticket ticket, PlaceOutcome outcome, long responseNanos, long now) {
        group.end(ticket, outcome, responseNanos, objective.nanos(), now);
        decide(now);
    }

    @Override
    public void entryLost(String entry, long now) {
        waiting.removeEntry(entry);
        group.entryLost(entry);
        decide(now);
    }

    @Override
    public void tick(long now) {
        group.tick(now);
        decide(now);
    }

    @Override
    public int waiting() {
        return waiting.size();
    }

    @Override
    public int inUse() {
        return group.inUse();
    }

    private void decide(long now) {
        sortOut(now);
        boolean given = true;
        while (given && waiting.size() > 0) {
            given = false;
            for (EndpointPlaces places : group.withRoom(now)) {
                given |= giveNext(places, now);
                if (given) {
                    break;
                }
            }
        }
        notifyDecisions();
    }

    private void sortOut(long now) {
        long responseNanos = group.responseNanos();
        waiting.takeOverdue(responseNanos, now).forEach(call -> submitLate(call, now));
        waiting.takeUseless(responseNanos, now).forEach(call -> refuse(call, 0, "useless", now));
    }

    private boolean giveNext(EndpointPlaces places, long now) {
        Optional<WaitingCall> next = next(places, now);
        next.ifPresent(call -> {
            Ticket ticket = call.request().ticket();
            waiting.remove(ticket);
            group.give(places, ticket, now);
            granted++;
            decisions.add(() -> listener.granted(ticket, places.endpoint()));
        });
        return next.isPresent();
    }

    private Optional<WaitingCall> next(EndpointPlaces places, long now) {
        String endpoint = places.endpoint().id();
        if (!places.healthy()) {
            // A trial goes to a request that is late anyway, as it may be lost.
            return waiting.any(endpoint);
        }
        if (granted % LONGEST_WAITING_EVERY == LONGEST_WAITING_EVERY - 1) {
            Optional<WaitingCall> longest = waiting.longestWaiting(endpoint);
            if (longest.isPresent()) {
                return longest;
            }
        }
        return waiting.nextInTime(endpoint, group.answersPerSecond(), places.meanNanos(), now)
                .or(() -> places.hasIdleRoom() ? waiting.nextLate(endpoint) : Optional.empty());
    }

    /** Has a request wait that can only be late, or refuses it if its answer would be of no use when its turn comes. */
    private void submitLate(WaitingCall call, long now) {
        long expectedNanos = expectedLateNanos(call, now);
        if (expectedNanos + group.responseNanos() > call.uselessAt() - now) {
            refuse(call, expectedNanos, "wait", now);
        } else {
            waiting.addLate(call);
        }
    }

    private long expectedLateNanos(WaitingCall call, long now) {
        double answers = group.answersPerSecond();
        if (answers == 0) {
            return 0;
        }
        double byWait = waiting.aheadByWait(call) / (answers / LONGEST_WAITING_EVERY);
        double spare = answers - inTimeRate.perSecond(now);
        double byOrder = spare > 0 ? waiting.aheadByOrder(call) / spare : byWait;
        return (long) (Math.min(byWait, byOrder) * NANOS_PER_SECOND);
    }

    private void refuse(WaitingCall call, long expectedNanos, String reason, long now) {
        double lateRate = group.answersPerSecond() / LONGEST_WAITING_EVERY;
        long usefulNanos = call.uselessAt() - now;
        long retryAfterNanos = returns.retryAfter(expectedNanos, usefulNanos, lateRate, now);
        String inputs = String.format(
                Locale.ROOT,
                "reason=%s waiting=%d in-use=%d answers-per-second=%.1f expected-ms=%d useful-ms=%d",
                reason,
                waiting.size(),
                group.inUse(),
                group.answersPerSecond(),
                expectedNanos / NANOS_PER_MILLI,
                usefulNanos / NANOS_PER_MILLI);
        decisions.add(() -> listener.refused(call.request().ticket(), retryAfterNanos, inputs));
    }

    /** Tells the decisions when the state is complete, as the listener may call this queue again. */
    private void notifyDecisions() {
        if (notifying) {
            return;
        }
        notifying = true;
        try {
            for (Runnable decision = decisions.poll(); decision != null; decision = decisions.poll()) {
                decision.run();
            }
        } finally {
            notifying = false;
        }
    }
}
