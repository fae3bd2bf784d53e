package org.quetzalseam.gateway.access;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.peer.ProvedState;
import org.quetzalseam.gateway.runtime.Timers;
import org.quetzalseam.gateway.store.KindFreshness;

/**
 * The age of the proof that the desired state in force is the newest: from the store's last answer to this entry, or, while the store
 * does not answer it, from an answer that the store gave to another entry which has the same version in force. Used on the event loop
 * only.
 *
 * <p>What another entry states counts from when it was asked. It states only what the store has told it itself, so that entries that
 * are all cut off from the store can't confirm each other.
 */
public final class SharedProof {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    /** Age of the store's last answer from which on other entries are asked, in milliseconds: it is younger while the store answers. */
    private static final long ASK_AGE_MILLIS = 2_800;
    /** Interval of the checks whether other entries have to be asked, in milliseconds. */
    private static final long CHECK_MILLIS = 400;
    /** Number of entries that are asked at a time. */
    private static final int ASKED_ENTRIES = 3;

    private final Timers timers;
    private final Peers peers;
    private final LongSupplier version;
    private final BooleanSupplier needed;
    private @Nullable KindFreshness own;
    private long confirmedVersion;
    private long confirmedAt;
    private boolean confirmed;

    /**
     * Creates a proof that asks nobody before {@link #start}.
     *
     * @param version the version of the desired state in force
     * @param needed whether there are keys whose revocation matters, so that other entries are asked
     */
    public SharedProof(Timers timers, Peers peers, LongSupplier version, BooleanSupplier needed) {
        this.timers = timers;
        this.peers = peers;
        this.version = version;
        this.needed = needed;
    }

    /** Starts to ask other entries whenever the store has not answered for some time. */
    public void start(KindFreshness desiredState) {
        own = desiredState;
        timers.every(CHECK_MILLIS, this::askIfOld);
    }

    /** Returns how long ago, at the most, the store had no newer version than the one in force, in milliseconds. */
    public long ageMillis() {
        KindFreshness known = own;
        long ownMillis = known == null ? 0 : known.ageMillis();
        if (!confirmed || confirmedVersion != version.getAsLong()) {
            return ownMillis;
        }
        return Math.min(ownMillis, TimeUnit.NANOSECONDS.toMillis(timers.elapsed() - confirmedAt));
    }

    /** Returns what this entry knows from the store itself. */
    public ProvedState ownState() {
        KindFreshness known = own;
        return new ProvedState(version.getAsLong(), known == null ? Long.MAX_VALUE : known.ageMillis());
    }

    private void askIfOld() {
        KindFreshness known = own;
        if (known == null || !needed.getAsBoolean() || known.ageMillis() < ASK_AGE_MILLIS) {
            return;
        }
        List<String> usable = new ArrayList<>(peers.usable());
        Collections.shuffle(usable);
        long askedAt = timers.elapsed();
        for (String peer : usable.subList(0, Math.min(ASKED_ENTRIES, usable.size()))) {
            peers.askState(peer, state -> confirm(peer, state, askedAt));
        }
    }

    private void confirm(String peer, ProvedState state, long askedAt) {
        if (state.version() != version.getAsLong() || state.ageMillis() > ASK_AGE_MILLIS) {
            return;
        }
        long provedAt = askedAt - TimeUnit.MILLISECONDS.toNanos(state.ageMillis());
        if (!confirmed || confirmedVersion != state.version() || provedAt - confirmedAt > 0) {
            confirmed = true;
            confirmedVersion = state.version();
            confirmedAt = provedAt;
            logger.atFine().log(
                    "event=state-confirmed peer=%s version=%d age_ms=%d", peer, state.version(), state.ageMillis());
        }
    }
}
