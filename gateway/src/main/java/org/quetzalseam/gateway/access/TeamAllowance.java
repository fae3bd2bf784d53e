package org.quetzalseam.gateway.access;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.access.Allowance;
import org.quetzalseam.core.access.AllowanceBounds;
import org.quetzalseam.core.access.LeasedPart;
import org.quetzalseam.core.access.UnitPromise;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Admits the requests of one team. A request for which this entry's share does not suffice asks the holders of the team's units.
 * Used on the event loop only.
 *
 * <p>Where no other entry can hold units, or no holder answers, or some entries are of a version without holders, the request waits
 * while other entries are asked for units: a few first, then more at a time, until all have been asked.
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
    private final TeamShare share;
    private final TeamHolders holders;
    private final Deque<Waiting> waiting = new ArrayDeque<>();
    /** The entries to ask in the present search, in this order, of which {@code asked} have been asked. */
    private List<String> order = List.of();

    private int asked;
    private int atHolders;
    private long waitingUnits;
    private long refusedUnits;
    private int unanswered;
    private int batch;
    /** Whether a search is under way or planned. */
    private boolean searching;

    private long nextSearchAt;

    private record Waiting(
            Exchange exchange, long cost, long waitsUntil, Runnable admitted, TeamAllowances.LimitedListener limited) {}

    TeamAllowance(
            Timers timers, Peers peers, AllowanceBounds bounds, TeamHolders.Site site, String team, Allowance first) {
        this.timers = timers;
        this.peers = peers;
        this.team = team;
        this.share = new TeamShare(timers, bounds, first);
        this.holders = new TeamHolders(timers, peers, site, team, share);
        this.nextSearchAt = timers.now();
    }

    void update(Allowance allowance, double part) {
        share.update(allowance, part);
    }

    long lend(long units) {
        return share.lend(units);
    }

    UnitPromise promise(long units, long maxWaitNanos) {
        return holders.promise(units, maxWaitNanos);
    }

    LeasedPart leaseOut(long holder, long nanos) {
        return holders.leaseOut(holder, nanos);
    }

    /** Does what is due with time. */
    void refresh() {
        share.refresh();
        holders.askForParts();
    }

    /** Returns how many units requests wait for now. */
    long waitingUnits() {
        return waitingUnits + waiting.stream().mapToLong(Waiting::cost).sum();
    }

    /** Returns how many units have been refused since the start. */
    long refusedUnits() {
        return refusedUnits;
    }

    void admit(
            Exchange exchange,
            long cost,
            long inTimeMillis,
            long maxWaitMillis,
            Runnable admitted,
            TeamAllowances.LimitedListener limited) {
        boolean holdersAsked = atHolders < MAX_WAITING && !holders.inOrder().isEmpty();
        long waitMillis = holdersAsked ? maxWaitMillis : inTimeMillis;
        long waitsUntil = timers.now() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        Waiting request = new Waiting(exchange, cost, waitsUntil, admitted, limited);
        if (waiting.isEmpty() && share.take(cost)) {
            admit(request);
        } else if (holdersAsked) {
            askHolders(request);
        } else {
            search(request);
        }
    }

    private void askHolders(Waiting request) {
        HolderAttempt attempt = new HolderAttempt(request);
        atHolders++;
        waitingUnits += request.cost();
        request.exchange().onCallerDisconnected(attempt::cancel);
        request.exchange().onShutdown(() -> {
            if (attempt.cancel()) {
                limit(request, "stop", attempt.units.expectedWaitNanos(), attempt.units.questions());
            }
        });
        attempt.units.begin();
    }

    private final class HolderAttempt implements HeldUnits.Outcome {
        private final Waiting request;
        private final HeldUnits units;
        private boolean ended;

        HolderAttempt(Waiting request) {
            this.request = request;
            this.units = new HeldUnits(timers, holders, share, request.cost(), request.waitsUntil(), this);
        }

        /** Returns whether this ends the attempt. */
        boolean cancel() {
            units.cancel();
            return end();
        }

        private boolean end() {
            if (ended) {
                return false;
            }
            ended = true;
            atHolders--;
            waitingUnits -= request.cost();
            return true;
        }

        @Override
        public void taken() {
            if (end()) {
                admit(request);
            }
        }

        @Override
        public void declined() {
            if (!end()) {
                return;
            }
            if (!units.heard() || otherVersions()) {
                search(request);
            } else {
                limit(request, "holders", units.expectedWaitNanos(), units.questions());
            }
        }
    }

    /** Returns whether there are entries that pass no parts to holders. */
    private boolean otherVersions() {
        return peers.usable().size() > peers.usableHolders().size();
    }

    private void search(Waiting request) {
        Exchange exchange = request.exchange();
        boolean cannotWait = !searching && nextSearchAt - request.waitsUntil() > 0;
        if (waiting.size() >= MAX_WAITING || cannotWait) {
            admitOrLimit(request, "no-time");
            return;
        }
        exchange.onCallerDisconnected(() -> waiting.remove(request));
        exchange.onShutdown(() -> {
            waiting.remove(request);
            limit(request, "stop", Long.MAX_VALUE, 0);
        });
        waiting.addLast(request);
        if (!searching) {
            planSearch();
        }
    }

    private void admit(Waiting request) {
        request.exchange().onNotRun(() -> share.giveBack(request.cost()));
        request.admitted().run();
    }

    private void limit(Waiting request, String decidedBy, long expectedWaitNanos, int holdersAsked) {
        double available = share.available();
        long accrualNanos = share.accrualNanos((double) request.cost() - available);
        refusedUnits += request.cost();
        long retryAfterMillis = Math.max(
                MIN_RETRY_AFTER_MILLIS,
                TimeUnit.NANOSECONDS.toMillis(expectedWaitNanos == Long.MAX_VALUE ? accrualNanos : expectedWaitNanos));
        String inputs = String.format(
                "team=%s cost=%d available=%.0f accrues_per_s=%.0f entries_asked=%d waiting=%d"
                        + " decided_by=%s holders_asked=%d holder_wait_ms=%d parts_held=%d",
                team,
                request.cost(),
                available,
                share.perSecond(),
                decidedBy.equals("holders") ? 0 : asked,
                waiting.size() + atHolders,
                decidedBy,
                holdersAsked,
                expectedWaitNanos == Long.MAX_VALUE ? -1 : TimeUnit.NANOSECONDS.toMillis(expectedWaitNanos),
                share.heldParts());
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
        return (long) Math.ceil((double) wanted - share.available());
    }

    private void answered(long units, long askedAt) {
        unanswered--;
        share.borrow(units, askedAt);
        admitWaiting();
        if (unanswered == 0) {
            askNextBatch();
        }
    }

    private void admitWaiting() {
        while (!waiting.isEmpty() && share.take(waiting.getFirst().cost())) {
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
            tooLate.forEach(request -> admitOrLimit(request, "search"));
        }
        if (waiting.isEmpty()) {
            share.saveLoans();
        } else {
            planSearch();
        }
    }

    /** Decides on a request that can't wait; it may be small enough to be admitted before a larger one that arrived earlier. */
    private void admitOrLimit(Waiting request, String decidedBy) {
        if (share.take(request.cost())) {
            admit(request);
        } else {
            limit(request, decidedBy, Long.MAX_VALUE, 0);
        }
    }

    private double missingForFirst() {
        Waiting first = waiting.peekFirst();
        return first == null ? 0 : (double) first.cost() - share.available();
    }
}
