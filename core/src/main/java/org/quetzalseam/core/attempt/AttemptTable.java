package org.quetzalseam.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * The attempts that one endpoint process knows, and the only place where an attempt may change from waiting to started.
 *
 * <p>An attempt is {@code WAITING} until {@link #start}, then {@code STARTED} until {@link #finish}. {@link #seal} of an
 * attempt that has not started, known or not, leaves a tombstone: a later {@link #offer} or {@link #start} is refused.
 * Each attempt is held under a lease that its entry renews; {@link #expireLeases} returns the ones whose lease has run out.
 *
 * <p>Thread-safe: records are spread over shards, each under its own lock. Times are nanoseconds of one monotonic clock.
 *
 * @param <W> the work that belongs to an attempt, handed back for cancellation and resumption
 */
public final class AttemptTable<W> {
    private static final int SHARDS = 16;

    private enum State {
        WAITING,
        STARTED,
        FINISHED,
        SEALED
    }

    private static final class TrackedAttempt<W> {
        State state;

        @Nullable
        W work;

        long leaseEndNanos;
        long changedAtNanos;

        TrackedAttempt(State state, @Nullable W work, long leaseUntil, long changedAt) {
            this.state = state;
            this.work = work;
            this.leaseEndNanos = leaseUntil;
            this.changedAtNanos = changedAt;
        }

        boolean isLive() {
            return state == State.WAITING || state == State.STARTED;
        }
    }

    private final long leaseNanos;
    private final long retentionNanos;
    private final List<Map<AttemptId, TrackedAttempt<W>>> shards = new ArrayList<>();

    /**
     * Creates an empty table.
     *
     * @param leaseNanos how long an attempt lives without renewal
     * @param retentionNanos how long ended attempts and tombstones are remembered
     */
    public AttemptTable(long leaseNanos, long retentionNanos) {
        if (leaseNanos <= 0 || retentionNanos < leaseNanos) {
            throw new IllegalArgumentException("leaseNanos, retentionNanos: expected 0 < lease <= retention, got "
                    + leaseNanos + ", " + retentionNanos);
        }
        this.leaseNanos = leaseNanos;
        this.retentionNanos = retentionNanos;
        for (int i = 0; i < SHARDS; i++) {
            shards.add(new HashMap<>());
        }
    }

    private Map<AttemptId, TrackedAttempt<W>> shard(AttemptId id) {
        return shards.get(Math.floorMod(id.hashCode(), SHARDS));
    }

    /** Takes in a new attempt. Returns false, and changes nothing, when the attempt is known or sealed. */
    public boolean offer(AttemptId id, W work, long now) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            if (shard.containsKey(id)) {
                return false;
            }
            shard.put(id, new TrackedAttempt<>(State.WAITING, work, now + leaseNanos, now));
            return true;
        }
    }

    /**
     * Starts a waiting attempt. Returns false when it is sealed, unknown, already started, or its lease has run out: the
     * caller must then not run it.
     */
    public boolean start(AttemptId id, long now) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> entry = shard.get(id);
            if (entry == null || entry.state != State.WAITING || entry.leaseEndNanos - now < 0) {
                return false;
            }
            entry.state = State.STARTED;
            entry.changedAtNanos = now;
            return true;
        }
    }

    /** Notes that a started attempt has ended. Its work stays readable until the retention is over. */
    public void finish(AttemptId id, long now) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> entry = shard.get(id);
            if (entry != null && entry.state == State.STARTED) {
                entry.state = State.FINISHED;
                entry.changedAtNanos = now;
            }
        }
    }

    /** Makes sure that an attempt which has not started never will, and says what is known of it. */
    public SealResult seal(AttemptId id, long now) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> entry =
                    shard.computeIfAbsent(id, unused -> new TrackedAttempt<>(State.SEALED, null, now, now));
            if (entry.state == State.STARTED) {
                return SealResult.STARTED;
            }
            if (entry.state == State.FINISHED) {
                return SealResult.FINISHED;
            }
            entry.state = State.SEALED;
            entry.changedAtNanos = now;
            return SealResult.BEFORE_START;
        }
    }

    /** Returns the work of an attempt, or null when the attempt is unknown or only a tombstone. */
    public @Nullable W work(AttemptId id) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> entry = shard.get(id);
            return entry == null ? null : entry.work;
        }
    }

    /** Extends the leases of attempts that their entry still holds. */
    public void renew(Iterable<AttemptId> ids, long now) {
        for (AttemptId id : ids) {
            Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
            synchronized (shard) {
                TrackedAttempt<W> entry = shard.get(id);
                if (entry != null && entry.isLive()) {
                    entry.leaseEndNanos = now + leaseNanos;
                }
            }
        }
    }

    /** Extends all leases, after this process itself was paused and could not hear of any renewal. */
    public void renewAll(long now) {
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                shard.values().stream()
                        .filter(TrackedAttempt::isLive)
                        .forEach(entry -> entry.leaseEndNanos = now + leaseNanos);
            }
        }
    }

    /** Returns how long a lease lasts, in nanoseconds. */
    public long leaseNanos() {
        return leaseNanos;
    }

    /**
     * Returns the work of waiting and started attempts whose lease has run out. Waiting ones are sealed by this call;
     * started ones must be cancelled by the caller. Each is returned once.
     */
    public List<W> expireLeases(long now) {
        List<W> lapsed = new ArrayList<>();
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                for (TrackedAttempt<W> entry : shard.values()) {
                    W work = entry.work;
                    if (!entry.isLive() || entry.leaseEndNanos - now >= 0 || work == null) {
                        continue;
                    }
                    entry.state = entry.state == State.WAITING ? State.SEALED : State.FINISHED;
                    entry.changedAtNanos = now;
                    lapsed.add(work);
                }
            }
        }
        return lapsed;
    }

    /** Forgets ended attempts and tombstones older than the retention. Returns how many were dropped. */
    public int purge(long now) {
        int dropped = 0;
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                Iterator<TrackedAttempt<W>> entries = shard.values().iterator();
                while (entries.hasNext()) {
                    TrackedAttempt<W> entry = entries.next();
                    if (!entry.isLive() && now - entry.changedAtNanos > retentionNanos) {
                        entries.remove();
                        dropped++;
                    }
                }
            }
        }
        return dropped;
    }

    /** Returns how many attempts wait or run. */
    public int liveCount() {
        int live = 0;
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                for (TrackedAttempt<W> entry : shard.values()) {
                    live += entry.isLive() ? 1 : 0;
                }
            }
        }
        return live;
    }
}
