package org.quetzalseam.gateway.access;

import java.util.HashMap;
import java.util.Map;
import org.quetzalseam.core.access.AccessRules;
import org.quetzalseam.core.access.Allowance;
import org.quetzalseam.core.access.AllowanceBounds;
import org.quetzalseam.core.access.Team;
import org.quetzalseam.gateway.caller.Exchange;
import org.quetzalseam.gateway.peer.PeerServer;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/** This entry's shares of the allowances of all teams. Used on the event loop only. */
public final class TeamAllowances implements PeerServer.Lender {
    private final Timers timers;
    private final Peers peers;
    private final AllowanceBounds bounds;
    private final Map<String, TeamAllowance> teams = new HashMap<>();
    private AccessRules rules = AccessRules.OPEN;
    private double part;

    /** Creates shares that accrue nothing before {@link #part} is set. */
    public TeamAllowances(Timers timers, Peers peers, AllowanceBounds bounds) {
        this.timers = timers;
        this.peers = peers;
        this.bounds = bounds;
    }

    /** Applies the allowances of a version of the desired state. */
    public void update(AccessRules newRules) {
        rules = newRules;
        teams.keySet().removeIf(name -> newRules.team(name).isEmpty());
        teams.forEach((name, allowance) -> allowance.update(allowanceOf(name), part));
        // All teams save up units from now on, so that their first requests find some.
        newRules.names().forEach(this::allowance);
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
     * @param maxWaitMillis how long the request may wait for units that are about to accrue
     * @param admitted called if the request may be made; its units are given back if it is refused without having run
     * @param limited called if it exceeds the allowance
     */
    public void admit(Team team, Exchange exchange, long maxWaitMillis, Runnable admitted, LimitedListener limited) {
        if (!team.allowance().isLimited()) {
            admitted.run();
            return;
        }
        allowance(team.name())
                .admit(exchange, team.allowance().cost(exchange.facts().demand()), maxWaitMillis, admitted, limited);
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
            TeamAllowance allowance = new TeamAllowance(timers, peers, bounds, team);
            allowance.update(allowanceOf(team), part);
            return allowance;
        });
    }

    @Override
    public long lend(String team, long units) {
        return rules.team(team).isPresent() ? allowance(team).lend(units) : 0;
    }
}
