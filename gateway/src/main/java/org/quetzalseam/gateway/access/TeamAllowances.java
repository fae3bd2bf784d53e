package org.quetzalseam.gateway.access;

import java.util.HashMap;
import java.util.Map;
import org.quetzalseam.core.access.AccessRules;
import org.quetzalseam.core.access.Allowance;
import org.quetzalseam.core.access.AllowanceBounds;
import org.quetzalseam.core.access.LeasedPart;
import org.quetzalseam.core.access.Team;
import org.quetzalseam.core.access.UnitPromise;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.peer.PeerServer;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/** This entry's shares of the allowances of all teams. Used on the event loop only. */
public final class TeamAllowances implements PeerServer.Lender {
    /** Time between two checks of leases and of allowances that are to bind, in milliseconds. */
    private static final long REFRESH_MILLIS = 100;
    /** Time after which a removed team is forgotten: it may come back while a holder still has this entry's part. */
    private static final long FORGET_MILLIS = 10_000;

    private final Timers timers;
    private final Peers peers;
    private final AllowanceBounds bounds;
    private final Map<String, TeamAllowance> teams = new HashMap<>();
    private AccessRules rules = AccessRules.OPEN;
    private final String self;
    private double part;
    private int entries = 1;
    private boolean answersPeers;
    private boolean refreshing;

    /**
     * Creates shares that accrue nothing before {@link #part} is set.
     *
     * @param self name of this entry
     */
    public TeamAllowances(Timers timers, Peers peers, AllowanceBounds bounds, String self) {
        this.timers = timers;
        this.peers = peers;
        this.bounds = bounds;
        this.self = self;
    }

    /** Records that other entries can ask this one. */
    public void answersPeers() {
        answersPeers = true;
    }

    /** Sets the number of entries. */
    public void entries(int newEntries) {
        entries = newEntries;
    }

    /** Returns how many units requests wait for now. */
    public long waitingUnits() {
        return teams.values().stream().mapToLong(TeamAllowance::waitingUnits).sum();
    }

    /** Returns how many units have been refused since the start, to the teams that there are now. */
    public long refusedUnits() {
        return teams.values().stream().mapToLong(TeamAllowance::refusedUnits).sum();
    }

    /** Applies the allowances of a version of the desired state. */
    public void update(AccessRules newRules) {
        rules = newRules;
        if (teams.keySet().stream().anyMatch(name -> newRules.team(name).isEmpty())) {
            timers.after(FORGET_MILLIS, this::forgetRemoved);
        }
        teams.forEach((name, allowance) -> allowance.update(allowanceOf(name), part));
        // All teams save up units from now on, so that their first requests find some.
        newRules.names().forEach(this::allowance);
        newRules.names().forEach(name -> refreshIfLimited(allowanceOf(name)));
    }

    private void forgetRemoved() {
        teams.keySet().removeIf(name -> rules.team(name).isEmpty());
    }

    /** Sets the part of each allowance that this entry accrues, from 0 to 1. */
    public void part(double newPart) {
        if (newPart != part) {
            part = newPart;
            teams.forEach((name, allowance) -> allowance.update(allowanceOf(name), newPart));
        }
    }

    /** Returns the part of each allowance that this entry accrues. */
    public double part() {
        return part;
    }

    private Allowance allowanceOf(String team) {
        return rules.team(team).map(Team::allowance).orElse(Allowance.UNLIMITED);
    }

    /**
     * Admits a request within its team's allowance, if need be after units have been borrowed from other entries.
     *
     * @param inTimeMillis how long the request may wait for units that other entries lend
     * @param maxWaitMillis how long it may wait for units that a holder promises
     * @param admitted called if the request may be made; its units are given back if it is refused without having run
     * @param limited called if it exceeds the allowance
     */
    public void admit(
            Team team,
            Exchange exchange,
            long inTimeMillis,
            long maxWaitMillis,
            Runnable admitted,
            LimitedListener limited) {
        if (!team.allowance().isLimited()) {
            admitted.run();
            return;
        }
        allowance(team.name())
                .admit(
                        exchange,
                        team.allowance().cost(exchange.facts().demand()),
                        inTimeMillis,
                        maxWaitMillis,
                        admitted,
                        limited);
    }

    /** Receives a request that exceeds its team's allowance. */
    public interface LimitedListener {
        /**
         * Called once.
         *
         * @param retryAfterMillis time in which enough units accrue to the team
         * @param inputs what decided, as {@code key=value} pairs for the log
         */
        void limited(long retryAfterMillis, String inputs);
    }

    private TeamAllowance allowance(String team) {
        return teams.computeIfAbsent(team, added -> {
            Allowance first = allowanceOf(team);
            TeamAllowance allowance = new TeamAllowance(timers, peers, bounds, new KnownSite(), team, first);
            refreshIfLimited(first);
            allowance.update(allowanceOf(team), part);
            return allowance;
        });
    }

    /** Starts the regular checks with the first team that has a limit: without one there is nothing to check. */
    private void refreshIfLimited(Allowance allowance) {
        if (allowance.isLimited() && !refreshing) {
            refreshing = true;
            timers.every(REFRESH_MILLIS, () -> teams.values().forEach(TeamAllowance::refresh));
        }
    }

    private final class KnownSite implements TeamHolders.Site {
        @Override
        public String self() {
            return self;
        }

        @Override
        public boolean answersPeers() {
            return answersPeers;
        }

        @Override
        public int entries() {
            return entries;
        }
    }

    private boolean isLimited(String team) {
        return allowanceOf(team).isLimited();
    }

    @Override
    public UnitPromise promise(String team, long units, long maxWaitNanos) {
        return isLimited(team) ? allowance(team).promise(units, maxWaitNanos) : new UnitPromise(false, maxWaitNanos);
    }

    @Override
    public LeasedPart leaseOut(String team, long holder, long leaseNanos) {
        return isLimited(team) ? allowance(team).leaseOut(holder, leaseNanos) : LeasedPart.NONE;
    }

    @Override
    public long lend(String team, long units) {
        return rules.team(team).isPresent() ? allowance(team).lend(units) : 0;
    }
}
