package org.quetzalseam.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the attempts of one endpoint process. Only this table changes an attempt from waiting to started.
 *
 * <p>An attempt is {@code WAITING} until {@link #start}, then {@code STARTED} until {@link #finish}. {@link #seal} of
 * an attempt that has not started, known or not, leaves a tombstone: a later {@link #offer} or {@link #start} is
 * refused. The entry process renews the lease of each of its attempts; {@link #expireLeases} returns those whose lease
 * has expired.
 *
 * <p>Thread-safe: attempts are spread over shards, each with its own lock. Times are nanoseconds of one monotonic
 * clock.
 *
 * @param <W> the work of an attempt, returned for cancellation and resumption
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
     * @param leaseNanos duration of a lease, after which an attempt that was not renewed ends
     * @param retentionNanos how long ended attempts and tombstones are retained, at least {@code leaseNanos}
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

    /** Adds a new waiting attempt. Returns false, and changes nothing, when the attempt is known or sealed. */
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
     * Starts a waiting attempt. Returns false when it is sealed, unknown, already started, or its lease has expired:
     * the caller must then not run it.
     */
    public boolean start(AttemptId id, long now) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> attempt = shard.get(id);
            if (attempt == null || attempt.state != State.WAITING || attempt.leaseEndNanos - now < 0) {
                return false;
            }
            attempt.state = State.STARTED;
            attempt.changedAtNanos = now;
            return true;
        }
    }

    /** Marks a started attempt as ended. Its work stays available until the end of the retention time. */
    public void finish(AttemptId id, long now) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> attempt = shard.get(id);
            if (attempt != null && attempt.state == State.STARTED) {
                attempt.state = State.FINISHED;
                attempt.changedAtNanos = now;
            }
        }
    }

    /** Prevents an attempt that has not started from ever starting, and returns its state. */
    public SealResult seal(AttemptId id, long now) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> attempt =
                    shard.computeIfAbsent(id, unused -> new TrackedAttempt<>(State.SEALED, null, now, now));
            if (attempt.state == State.STARTED) {
                return SealResult.STARTED;
            }
            if (attempt.state == State.FINISHED) {
                return SealResult.FINISHED;
            }
            attempt.state = State.SEALED;
            attempt.changedAtNanos = now;
            return SealResult.BEFORE_START;
        }
    }

    /** Returns the work of an attempt, or null when the attempt is unknown or only a tombstone. */
    public @Nullable W work(AttemptId id) {
        Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
        synchronized (shard) {
            TrackedAttempt<W> attempt = shard.get(id);
            return attempt == null ? null : attempt.work;
        }
    }

    /** Renews the leases of the given attempts, unless they have ended. */
    public void renew(Iterable<AttemptId> ids, long now) {
        for (AttemptId id : ids) {
            Map<AttemptId, TrackedAttempt<W>> shard = shard(id);
            synchronized (shard) {
                TrackedAttempt<W> attempt = shard.get(id);
                if (attempt != null && attempt.isLive()) {
                    attempt.leaseEndNanos = now + leaseNanos;
                }
            }
        }
    }

    /** Renews all leases, for use after a pause of this process in which it could not receive renewals. */
    public void renewAll(long now) {
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                shard.values().stream()
                        .filter(TrackedAttempt::isLive)
                        .forEach(attempt -> attempt.leaseEndNanos = now + leaseNanos);
            }
        }
    }

    /** Returns the duration of a lease, in nanoseconds. */
    public long leaseNanos() {
        return leaseNanos;
    }

    /**
     * Ends the waiting and started attempts whose lease has expired, and returns their work. Waiting ones are sealed by
     * this call; the caller must cancel started ones. Each is returned once.
     */
    public List<W> expireLeases(long now) {
        List<W> expired = new ArrayList<>();
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                for (TrackedAttempt<W> attempt : shard.values()) {
                    W work = attempt.work;
                    if (!attempt.isLive() || attempt.leaseEndNanos - now >= 0 || work == null) {
                        continue;
                    }
                    attempt.state = attempt.state == State.WAITING ? State.SEALED : State.FINISHED;
                    attempt.changedAtNanos = now;
                    expired.add(work);
                }
            }
        }
        return expired;
    }

    /** Removes ended attempts and tombstones older than the retention time. Returns how many were removed. */
    public int purge(long now) {
        int dropped = 0;
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                Iterator<TrackedAttempt<W>> entries = shard.values().iterator();
                while (entries.hasNext()) {
                    TrackedAttempt<W> attempt = entries.next();
                    if (!attempt.isLive() && now - attempt.changedAtNanos > retentionNanos) {
                        entries.remove();
                        dropped++;
                    }
                }
            }
        }
        return dropped;
    }

    /** Returns the number of attempts that are waiting or started. */
    public int liveCount() {
        int live = 0;
        for (Map<AttemptId, TrackedAttempt<W>> shard : shards) {
            synchronized (shard) {
                for (TrackedAttempt<W> attempt : shard.values()) {
                    live += attempt.isLive() ? 1 : 0;
                }
            }
        }
        return live;
    }
}
