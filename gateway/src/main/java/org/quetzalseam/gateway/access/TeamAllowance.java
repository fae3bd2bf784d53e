package org.quetzalseam.gateway.access;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.access.Allowance;
import org.quetzalseam.core.access.AllowanceBounds;
import org.quetzalseam.core.access.AllowanceShare;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Admits the requests of one team, in the order of their arrival. A request for which this entry's share does not suffice waits
 * briefly, while other entries are asked for units: a few first, then more at a time, until all have been asked. Used on the event
 * loop only.
 *
 * <p>All entries ask the others in the same order, which depends on the team: if two ask at the same time, one of them gets enough.
 */
final class TeamAllowance {
    /** Number of entries that are asked first; it doubles with each further batch. */
    private static final int FIRST_BATCH = 2;
    /** Shortest time from a search that found too little to the next one, in milliseconds: a search asks all other entries. */
    private static final long MIN_SEARCH_PAUSE_MILLIS = 40;
    /** Number of requests that may wait at the same time. */
    private static final int MAX_WAITING = 100;
    /** Shortest retry-after time, in milliseconds. */
    private static final long MIN_RETRY_AFTER_MILLIS = 200;

    private final Timers timers;
    private final Peers peers;
    private final String team;
    private final AllowanceShare share;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    /** The entries to ask in the present search, in this order, of which {@code asked} have been asked. */
    private List<String> order = List.of();

    private int asked;
    private int unanswered;
    private int batch;
    /** Whether a search is under way or planned. */
    private boolean searching;

    private long nextSearchAt;

    private record Waiting(
            Exchange exchange, long cost, long waitsUntil, Runnable admitted, TeamAllowances.LimitedListener limited) {}

    TeamAllowance(Timers timers, Peers peers, AllowanceBounds bounds, String team) {
        this.timers = timers;
        this.peers = peers;
        this.team = team;
        this.share = new AllowanceShare(bounds, timers.elapsed());
        this.nextSearchAt = timers.now();
    }

    void update(Allowance allowance, double part) {
        share.update(allowance, part, timers.elapsed());
    }

    long lend(long units) {
        return share.lend(units, timers.elapsed());
    }

    void admit(
            Exchange exchange,
            long cost,
            long maxWaitMillis,
            Runnable admitted,
            TeamAllowances.LimitedListener limited) {
        long waitsUntil = timers.now() + TimeUnit.MILLISECONDS.toNanos(maxWaitMillis);
        Waiting request = new Waiting(exchange, cost, waitsUntil, admitted, limited);
        if (waiting.isEmpty() && share.take(cost, timers.elapsed())) {
            admit(request);
            return;
        }
        boolean cannotWait = !searching && nextSearchAt - waitsUntil > 0;
        if (waiting.size() >= MAX_WAITING || cannotWait) {
            admitOrLimit(request);
            return;
        }
        exchange.onCallerDisconnected(() -> waiting.remove(request));
        exchange.onShutdown(() -> {
            waiting.remove(request);
            limit(request);
        });
        waiting.addLast(request);
        if (!searching) {
            planSearch();
        }
    }

    private void admit(Waiting request) {
        request.exchange().onNotRun(() -> share.giveBack(request.cost(), timers.elapsed()));
        request.admitted().run();
    }

    private void limit(Waiting request) {
        double available = share.available(timers.elapsed());
        long retryAfterMillis = Math.max(
                MIN_RETRY_AFTER_MILLIS,
                TimeUnit.NANOSECONDS.toMillis(share.accrualNanos((double) request.cost() - available)));
        String inputs = String.format(
                "team=%s cost=%d available=%.0f accrues_per_s=%.0f entries_asked=%d waiting=%d",
                team, request.cost(), available, share.perSecond(), asked, waiting.size());
        request.limited().limited(retryAfterMillis, inputs);
    }

    private void planSearch() {
        searching = true;
        long delayNanos = nextSearchAt - timers.now();
        if (delayNanos <= 0) {
            beginSearch();
        } else {
            timers.after(TimeUnit.NANOSECONDS.toMillis(delayNanos), this::beginSearch);
        }
    }

    private void beginSearch() {
        List<String> usable = peers.usable();
        order = Rendezvous.subset(usable, Rendezvous.hash(team), usable.size());
        asked = 0;
        batch = FIRST_BATCH;
        askNextBatch();
    }

    private void askNextBatch() {
        long missing = missingUnits();
        List<String> next = order.subList(asked, Math.min(asked + batch, order.size()));
        if (missing <= 0 || next.isEmpty()) {
            endSearch();
            return;
        }
        batch *= 2;
        unanswered = next.size();
        asked += next.size();
        long askedAt = timers.elapsed();
        long each = (missing + next.size() - 1) / next.size();
        for (String peer : next) {
            peers.ask(peer, team, Math.max(1, each), units -> answered(units, askedAt));
        }
    }

    private long missingUnits() {
        long wanted = waiting.stream().mapToLong(Waiting::cost).sum();
        return (long) Math.ceil((double) wanted - share.available(timers.elapsed()));
    }

    private void answered(long units, long askedAt) {
        unanswered--;
        share.borrow(units, askedAt, timers.elapsed());
        admitWaiting();
        if (unanswered == 0) {
            askNextBatch();
        }
    }

    private void admitWaiting() {
        while (!waiting.isEmpty() && share.take(waiting.getFirst().cost(), timers.elapsed())) {
            admit(waiting.removeFirst());
        }
    }

    /** Ends a search: nothing is missing, or there is nobody left to ask. What accrues soon is searched for again. */
    private void endSearch() {
        searching = false;
        admitWaiting();
        if (!waiting.isEmpty()) {
            long pauseNanos = Math.max(
                    TimeUnit.MILLISECONDS.toNanos(MIN_SEARCH_PAUSE_MILLIS), share.accrualNanos(missingForFirst()));
            nextSearchAt = timers.now() + pauseNanos;
            List<Waiting> tooLate = waiting.stream()
                    .filter(request -> nextSearchAt - request.waitsUntil() > 0)
                    .toList();
            waiting.removeAll(tooLate);
            tooLate.forEach(this::admitOrLimit);
        }
        if (waiting.isEmpty()) {
            share.saveLoans(timers.elapsed());
        } else {
            planSearch();
        }
    }

    /** Decides on a request that can't wait; it may be small enough to be admitted before a larger one that arrived earlier. */
    private void admitOrLimit(Waiting request) {
        if (share.take(request.cost(), timers.elapsed())) {
            admit(request);
        } else {
            limit(request);
        }
    }

    private double missingForFirst() {
        Waiting first = waiting.peekFirst();
        return first == null ? 0 : (double) first.cost() - share.available(timers.elapsed());
    }
}
