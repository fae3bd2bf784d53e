package org.quetzalseam.gateway.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.crash.ProbeAllowance;
import org.quetzalseam.gateway.caller.Exchange;

/**
 * The probes of one suspect, as far as this entry sends them or knows of them. Used on the event loop only.
 *
 * <p>A probe is asked for, claimed, allowed to one exchange and sent. A claim whose probe has shown nothing is used again.
 */
final class Suspect {
    /**
     * How long a claim may be used for the first time, in nanoseconds: much less than it counts at the other entries, which may
     * not hear at once that it was used.
     */
    private static final long CLAIM_USABLE_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final ProbeAllowance allowance;
    /** What to do with the exchanges that arrived while the reports of the other entries were read. */
    private final List<Runnable> waiting = new ArrayList<>();
    /** Probes of all entries that this entry has taken note of. */
    private int knownProbes;

    private boolean asking;
    private boolean reading;
    /** The id of the probe that this entry claimed last. */
    private @Nullable String claim;

    private long claimedAt;
    /** Whether something has been sent with the claim, so that the other entries count it as a probe. */
    private boolean claimReported;
    /** Whether nothing has been sent with the claim, or what was sent has shown nothing. */
    private boolean claimUnused;
    /** Whether the claim has been used for a probe that reached an endpoint and showed nothing. */
    private boolean repeated;
    /** The request that may be sent as a probe. */
    private @Nullable Exchange allowed;
    /** The request that was sent as the latest probe. */
    private @Nullable Exchange sent;

    /** Creates the state of a request that became a suspect at the given time. */
    Suspect(long suspectedAt) {
        this.allowance = new ProbeAllowance(suspectedAt);
    }

    /** Begins to ask for a probe. Returns false if it is too early, or another exchange asks for one or is one. */
    boolean ask(long now) {
        if (probeUnderWay() || waitNanos(now) > 0) {
            return false;
        }
        asking = true;
        return true;
    }

    /** Returns whether an exchange asks for a probe, or has been allowed one and may still be sent. */
    boolean probeUnderWay() {
        Exchange probe = allowed;
        return asking || (probe != null && !probe.ended());
    }

    void stopAsking() {
        asking = false;
    }

    /** Notes that the reports of the other entries are being read, which may clear the request. */
    void startReading() {
        reading = true;
    }

    /** Lets the exchanges go on that arrived during the read. */
    void stopReading() {
        reading = false;
        List<Runnable> arrived = List.copyOf(waiting);
        waiting.clear();
        arrived.forEach(Runnable::run);
    }

    /** Keeps an exchange until the reports have been read. Returns false if they are not being read. */
    boolean waitForRead(Runnable decide) {
        if (reading) {
            waiting.add(decide);
        }
        return reading;
    }

    long waitNanos(long now) {
        return allowance.waitNanos(now);
    }

    void postpone(long nanos, long now) {
        allowance.postpone(nanos, now);
    }

    /** Takes the number of probes that all entries have sent. Returns whether no more are allowed for long. */
    boolean isUsedUp(int sentProbes, long now) {
        return allowance.isUsedUp(sentProbes - (claimUnused && claimReported ? 1 : 0), now);
    }

    /**
     * Takes the number of probes that all entries have sent or claimed. Returns whether this entry has to wait for others: they have
     * claimed new ones, or there are as many claims as are allowed.
     */
    boolean waitsForOthers(int claims) {
        int probes = claims - (claimUnused ? 1 : 0);
        boolean more = probes > knownProbes;
        // Probes that no longer count are not known any more either.
        knownProbes = probes;
        return more || !covers(probes + 1);
    }

    /** Claims a probe. Returns its id. */
    String claim(long now) {
        String id = UUID.randomUUID().toString();
        claim = id;
        claimedAt = now;
        claimReported = false;
        claimUnused = true;
        repeated = false;
        return id;
    }

    /** Returns whether this entry has a claim that it may use. */
    boolean hasUsableClaim(long now) {
        return claimUnused && isClaimRecent(now);
    }

    /** Gives the claim up. Returns its id if nothing has been sent with it. */
    @Nullable
    String withdrawClaim() {
        boolean withdrawn = claimUnused && !claimReported;
        claimUnused = false;
        return withdrawn ? claim : null;
    }

    private boolean isClaimRecent(long now) {
        return now - claimedAt <= (claimReported ? ProbeAllowance.PROBE_KEEP_NANOS : CLAIM_USABLE_NANOS);
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

    boolean allows(Exchange exchange, long now) {
        return allowed == exchange && isClaimRecent(now);
    }

    /** Records that an exchange is sent to an endpoint. Returns the id of its probe if it is one. */
    @Nullable
    String recordSent(Exchange exchange, long now) {
        if (allowed != exchange) {
            return null;
        }
        allowed = null;
        sent = exchange;
        claimUnused = false;
        claimReported = true;
        knownProbes++;
        allowance.postpone(ProbeAllowance.INTERVAL_NANOS, now);
        return claim;
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
        claimUnused = true;
        knownProbes--;
        allowance.postpone(0, now);
    }
}
