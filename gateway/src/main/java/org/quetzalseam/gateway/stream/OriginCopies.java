package org.quetzalseam.gateway.stream;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/** Has enough other entries keep the record of one stream, and replaces those that have gone. Used on the event loop only. */
final class OriginCopies {
    /** Number of other entries that keep a record: it is lost only if they and this one end before its caller returns. */
    static final int COPIES = 2;

    /** Delay before missing copies are tried again, in milliseconds: about the time in which a process starts again. */
    private static final long FIRST_RETRY_MILLIS = 500;
    /** Longest such delay, in milliseconds: an entry that is cut off must not spend its time on copies. */
    private static final long MAX_RETRY_MILLIS = 4_000;
    /** Entries tried between two retries. */
    private static final int MAX_TRIED = 6;

    private final Timers timers;
    private final Peers peers;
    private final String attempt;
    private final StreamOrigin origin;
    private final long keptUntil;
    private final Set<String> holders = new HashSet<>();
    /** Entries that have been asked since the last retry, whether they answered or not. */
    private final Set<String> tried = new HashSet<>();

    private int pending;
    private boolean retryScheduled;
    private long retryMillis = FIRST_RETRY_MILLIS;

    OriginCopies(Timers timers, Peers peers, String attempt, StreamOrigin origin, long keptUntil) {
        this.timers = timers;
        this.peers = peers;
        this.attempt = attempt;
        this.origin = origin;
        this.keptUntil = keptUntil;
    }

    /** Returns the names in the order in which they are asked to keep the record of an attempt, and asked for it. */
    static List<String> ranked(String attempt, List<String> names) {
        return Rendezvous.subset(names, Rendezvous.hash(attempt), names.size());
    }

    boolean expired(long now) {
        return keptUntil - now <= 0;
    }

    /**
     * Sends the record to the next entries in their order until enough of them keep it; last to those that did not answer just now,
     * which may have started again. If too few keep it, all are tried again a little later.
     */
    void complete() {
        Set<String> order = new LinkedHashSet<>(ranked(attempt, peers.usable()));
        order.addAll(ranked(attempt, peers.names()));
        for (String peer : order) {
            if (lacksCopies() && tried.size() < MAX_TRIED && tried.add(peer)) {
                send(peer, true);
            }
        }
        if (lacksCopies() && !retryScheduled && order.size() > holders.size()) {
            retryScheduled = true;
            timers.after(retryMillis, () -> {
                retryScheduled = false;
                retryMillis = Math.min(2 * retryMillis, MAX_RETRY_MILLIS);
                retry();
            });
        }
    }

    private boolean lacksCopies() {
        return holders.size() + pending < COPIES && !expired(timers.now());
    }

    /** A connection may have become unresponsive though its entry works, so the first failure is repeated on a new one. */
    private void send(String peer, boolean mayRepeat) {
        pending++;
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, keptUntil - timers.now()));
        peers.keepOrigin(peer, attempt, origin, leftMillis, kept -> {
            pending--;
            if (kept) {
                holders.add(peer);
            } else if (mayRepeat) {
                send(peer, false);
            } else {
                complete();
            }
        });
    }

    /** Replaces the copy of an entry whose connection has ended, because its process may have ended too. */
    void replace(String lostPeer) {
        if (holders.remove(lostPeer)) {
            tried.remove(lostPeer);
            complete();
        }
    }

    /** Tries all entries again for copies that are missing. */
    void retry() {
        tried.retainAll(holders);
        complete();
    }
}
