package org.quetzalseam.gateway.crash;

import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.crash.ProbeAllowance;
import org.quetzalseam.gateway.caller.Exchange;

/**
 * The probes of one suspect, as far as this entry sends them or knows of them. Used on the event loop only.
 *
 * <p>A probe is asked for, claimed, allowed to one exchange and sent. A claim whose probe has shown nothing is used again.
 */
final class Suspect {
    private final ProbeAllowance allowance;
    /** Probes of all entries that this entry has taken note of. */
    private int knownProbes;

    private boolean asking;
    /** Whether this entry has claimed a probe with which nothing has been sent yet. */
    private boolean unusedClaim;
    /** Whether the claim has been used for a probe that reached an endpoint and showed nothing. */
    private boolean repeated;
    /** The request that may be sent as a probe. */
    private @Nullable Exchange allowed;
    /** The request that was sent as the latest probe. */
    private @Nullable Exchange sent;

    Suspect(long now) {
        this.allowance = new ProbeAllowance(now);
    }

    /** Begins to ask for a probe. Returns false if it is too early, or another exchange asks for one or is one. */
    boolean ask(long now) {
        Exchange probe = allowed;
        boolean busy = asking || (probe != null && !probe.ended());
        if (busy || waitNanos(now) > 0) {
            return false;
        }
        asking = true;
        return true;
    }

    void stopAsking() {
        asking = false;
    }

    long waitNanos(long now) {
        return allowance.waitNanos(now);
    }

    void postpone(long nanos, long now) {
        allowance.postpone(nanos, now);
    }

    /** Takes the number of probes that all entries have claimed. Returns whether no more are allowed for long. */
    boolean isUsedUp(int claims, long now) {
        int probes = probes(claims);
        // Probes that no longer count are not known any more either.
        knownProbes = Math.min(knownProbes, probes);
        return allowance.isUsedUp(probes, now);
    }

    /** Takes the number of probes that all entries have claimed. Returns whether other entries have claimed new ones. */
    boolean noteProbesOfOthers(int claims) {
        boolean more = probes(claims) > knownProbes;
        knownProbes = Math.max(knownProbes, probes(claims));
        return more;
    }

    private int probes(int claims) {
        return claims - (unusedClaim ? 1 : 0);
    }

    /** Claims a probe. Returns false if an earlier claim is still unused. */
    boolean claim() {
        if (unusedClaim) {
            return false;
        }
        unusedClaim = true;
        repeated = false;
        return true;
    }

    /** Returns whether the claims, this entry's among them, are no more than are allowed. */
    boolean covers(int claims) {
        return allowance.covers(claims);
    }

    /** Lets an exchange be sent, once. */
    void allow(Exchange exchange) {
        asking = false;
        allowed = exchange;
    }

    boolean allows(Exchange exchange) {
        return allowed == exchange;
    }

    void recordSent(Exchange exchange, long now) {
        if (allowed == exchange) {
            allowed = null;
            sent = exchange;
            unusedClaim = false;
            knownProbes++;
            allowance.postpone(ProbeAllowance.INTERVAL_NANOS, now);
        }
    }

    boolean isLatestProbe(Exchange exchange) {
        return sent == exchange;
    }

    /** Records that an exchange reached no endpoint; if it is the latest probe, it may go on to another one. */
    void recordNotSent(Exchange exchange, long now) {
        if (sent == exchange) {
            giveBack(now);
            allowed = exchange;
        }
    }

    /** Records that an endpoint did not run an exchange; if it is the latest probe, it may go on to another one, once. */
    void recordRejected(Exchange exchange, long now) {
        if (sent == exchange && giveBackOnce(now)) {
            allowed = exchange;
        }
    }

    /** Allows another exchange in place of the latest probe, which has shown nothing. Returns whether that is allowed. */
    boolean repeatProbe(Exchange exchange, long now) {
        return sent == exchange && giveBackOnce(now);
    }

    private boolean giveBackOnce(long now) {
        if (repeated) {
            return false;
        }
        repeated = true;
        giveBack(now);
        return true;
    }

    private void giveBack(long now) {
        sent = null;
        unusedClaim = true;
        knownProbes--;
        allowance.postpone(0, now);
    }
}
