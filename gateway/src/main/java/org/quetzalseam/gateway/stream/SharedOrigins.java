package org.quetzalseam.gateway.stream;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.core.stream.StreamOrigins;
import org.quetzalseam.gateway.peer.OriginKeeper;
import org.quetzalseam.gateway.peer.PeerOrigin;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Where streams began, for callers that take them up at any entry. The entry that forwards the head of a stream's answer knows, and
 * tells some others, chosen by rendezvous hashing of the attempt's id, so that the record outlasts a restart of any of them. An entry
 * that does not know asks the likely ones first, then the others. Used on the event loop only.
 */
public final class SharedOrigins implements OriginKeeper {
    /** Number of other entries that keep a record: it is lost only if three entries end before its caller returns. */
    static final int COPIES = 2;
    /** Entries that may be tried for one copy: each that does not answer takes the time of an answer. */
    private static final int MAX_TRIES_PER_COPY = 3;

    private final Timers timers;
    private final Peers peers;
    private final StreamOrigins origins = new StreamOrigins();

    /** Creates an empty record. */
    public SharedOrigins(Timers timers, Peers peers) {
        this.timers = timers;
        this.peers = peers;
    }

    /**
     * Records where an attempt began a stream, and tells other entries.
     *
     * @param attempt id of the attempt
     * @param origin where the stream began
     * @param keepMillis how long its caller may return, in milliseconds
     */
    public void record(String attempt, StreamOrigin origin, long keepMillis) {
        keep(attempt, origin, keepMillis);
        copy(attempt, origin, keepMillis);
    }

    private void copy(String attempt, StreamOrigin origin, long keepMillis) {
        List<String> ranked = ranked(attempt, peers.usable());
        Copies copies = new Copies(attempt, origin, timers.now(), keepMillis, ranked);
        for (int i = 0; i < COPIES; i++) {
            copies.sendNext(MAX_TRIES_PER_COPY);
        }
    }

    private static List<String> ranked(String attempt, List<String> names) {
        return Rendezvous.subset(names, Rendezvous.hash(attempt), names.size());
    }

    /** Sends one record to the entries in their order until enough of them have it. */
    private final class Copies {
        private final String attempt;
        private final StreamOrigin origin;
        private final long startedAt;
        private final long keepMillis;
        private final List<String> ranked;
        private int next;

        Copies(String attempt, StreamOrigin origin, long startedAt, long keepMillis, List<String> ranked) {
            this.attempt = attempt;
            this.origin = origin;
            this.startedAt = startedAt;
            this.keepMillis = keepMillis;
            this.ranked = ranked;
        }

        void sendNext(int triesLeft) {
            if (next < ranked.size() && triesLeft > 0) {
                send(ranked.get(next++), triesLeft, true);
            }
        }

        /** A connection may have become unresponsive though its entry works, so the first failure is repeated on a new one. */
        private void send(String peer, int triesLeft, boolean mayRepeat) {
            long millisLeft = keepMillis - TimeUnit.NANOSECONDS.toMillis(timers.now() - startedAt);
            peers.keepOrigin(peer, attempt, origin, Math.max(0, millisLeft), kept -> {
                if (kept) {
                    return;
                }
                if (mayRepeat) {
                    send(peer, triesLeft, false);
                } else {
                    sendNext(triesLeft - 1);
                }
            });
        }
    }

    @Override
    public void keep(String attempt, StreamOrigin origin, long keepMillis) {
        long now = timers.now();
        origins.record(attempt, origin, now + TimeUnit.MILLISECONDS.toNanos(keepMillis), now);
    }

    @Override
    public Optional<PeerOrigin> known(String attempt) {
        long now = timers.now();
        return origins.find(attempt, now)
                .map(known -> new PeerOrigin(
                        known.origin(), TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - known.recordedAt()))));
    }

    /** Finds where an attempt began a stream; {@code found} may be called before this method returns. */
    public void find(String attempt, Consumer<OriginFinding> found) {
        Optional<PeerOrigin> own = known(attempt);
        if (own.isPresent()) {
            found.accept(OriginFinding.known(own.get(), "itself", 0));
            return;
        }
        new OriginSearch(peers, attempt, ranked(attempt, peers.names()), found).start();
    }

    /** Tells other entries of all streams that may be taken up, because this one stops. */
    public void handOver() {
        long now = timers.now();
        origins.forEach(
                now,
                (attempt, known) ->
                        copy(attempt, known.origin(), TimeUnit.NANOSECONDS.toMillis(known.keptUntil() - now)));
    }

    /** Returns the number of streams recorded. */
    public int size() {
        return origins.size();
    }
}
