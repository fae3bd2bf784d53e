package org.quetzalseam.gateway.stream;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.stream.StreamOrigin;
import org.quetzalseam.core.stream.StreamOrigins;
import org.quetzalseam.gateway.peer.OriginKeeper;
import org.quetzalseam.gateway.peer.PeerOrigin;
import org.quetzalseam.gateway.peer.Peers;
import org.quetzalseam.gateway.runtime.Timers;

/**
 * Where streams began, for callers that take them up at any entry. The entry that forwards the head of a stream's answer knows, and
 * tells some others, chosen by rendezvous hashing of the attempt's id, so that the record outlasts the end of any of them. An entry
 * that does not know asks the likely ones first, then the others. Used on the event loop only.
 */
public final class SharedOrigins implements OriginKeeper {
    /** Interval between two checks whether the entries have been listed, in milliseconds. */
    private static final long LIST_CHECK_MILLIS = 50;
    /** Number of these checks: a list takes some answers of the store. */
    private static final int MAX_LIST_CHECKS = 10;

    private final Timers timers;
    private final Peers peers;
    private final StreamOrigins origins = new StreamOrigins();
    private @Nullable NotedOrigins notes;
    /** Copies of the records that this entry made, oldest first. */
    private final Map<String, OriginCopies> copies = new LinkedHashMap<>();

    /** Creates an empty record. */
    public SharedOrigins(Timers timers, Peers peers) {
        this.timers = timers;
        this.peers = peers;
        peers.onListed(this::retryCopies);
        peers.onLost(this::replaceCopies);
    }

    /** Has the records that this entry makes noted in the store too. */
    public void noteIn(NotedOrigins noted) {
        notes = noted;
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
        if (notes != null) {
            notes.record(attempt, origin, keepMillis);
        }
        copy(attempt, origin, timers.now() + TimeUnit.MILLISECONDS.toNanos(keepMillis));
    }

    private void copy(String attempt, StreamOrigin origin, long keptUntil) {
        OriginCopies made = new OriginCopies(timers, peers, attempt, origin, keptUntil);
        copies.remove(attempt);
        copies.put(attempt, made);
        forgetExpired();
        made.complete();
    }

    private void forgetExpired() {
        long now = timers.now();
        while (!copies.isEmpty()) {
            Map.Entry<String, OriginCopies> oldest =
                    copies.entrySet().iterator().next();
            if (copies.size() <= StreamOrigins.MAX_STREAMS && !oldest.getValue().expired(now)) {
                return;
            }
            copies.remove(oldest.getKey());
        }
    }

    private void retryCopies() {
        List.copyOf(copies.values()).forEach(OriginCopies::retry);
    }

    private void replaceCopies(String lostPeer) {
        List.copyOf(copies.values()).forEach(made -> made.replace(lostPeer));
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
        searchOnceListed(attempt, MAX_LIST_CHECKS, found);
    }

    /** A process that has just started waits for its first list of the entries, because it knows nothing itself. */
    private void searchOnceListed(String attempt, int checksLeft, Consumer<OriginFinding> found) {
        if (peers.listed() || checksLeft == 0) {
            new OriginSearch(peers, attempt, OriginCopies.ranked(attempt, peers.names()), found).start();
        } else {
            timers.after(LIST_CHECK_MILLIS, () -> searchOnceListed(attempt, checksLeft - 1, found));
        }
    }

    /** Has other entries keep all records that this one has, because it stops. */
    public void handOver() {
        origins.forEach(timers.now(), (attempt, known) -> copy(attempt, known.origin(), known.keptUntil()));
    }

    /** Returns the number of streams recorded. */
    public int size() {
        return origins.size();
    }
}
