package org.quetzalseam.core.generation;

import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.store.StorePosition;

/**
 * Tracks, in one process, a lease that is a record in a shared store: who holds it, and when it may be taken over or
 * used to send orders. Not thread-safe.
 *
 * <p>The record's position rises with each renewal. A process takes a lease over when that position has not changed for
 * much longer than the renewal interval, by its own monotonic clock; the takeover is conditional on that position, so
 * that only one process wins. A holder sends an order only right after a renewal, and a new holder only once any order
 * of the previous holder must have been sent long ago.
 */
public final class OrderLease {
    /** Number of renewals that may be missed before the lease is taken over. */
    private static final int MAX_MISSED_RENEWALS = 3;
    /** How long after the start of a renewal an order may be sent: well within the shortest lease. */
    private static final long ORDER_VALID_MILLIS = 1_000;

    private final String self;
    private final long renewMillis;
    private final long firstOrderDelayMillis;
    private String holder = "";
    private long epoch;
    private StorePosition position = StorePosition.NONE;
    private long positionChangedAt;
    private long ordersFrom;
    private long renewedMonotonicNanos;
    private long renewedWallMillis;
    private boolean hasRenewed;

    /**
     * Creates the state of a lease that has not been read yet.
     *
     * @param self the name of this process
     * @param renewMillis interval at which a holder renews it
     * @param firstOrderDelayMillis how long a new holder waits before its first order
     */
    public OrderLease(String self, long renewMillis, long firstOrderDelayMillis) {
        this.self = self;
        this.renewMillis = renewMillis;
        this.firstOrderDelayMillis = firstOrderDelayMillis;
    }

    /** Records the lease record as read or written; ignored if it is not newer than the last one. */
    public void observe(String recordHolder, long recordEpoch, StorePosition recordPosition, long now) {
        if (!position.isBefore(recordPosition)) {
            return;
        }
        holder = recordHolder;
        epoch = recordEpoch;
        position = recordPosition;
        positionChangedAt = now;
    }

    /** Returns whether the record has been read or written since the process started. */
    public boolean isKnown() {
        return !position.equals(StorePosition.NONE);
    }

    /** Discards the known record: the next one that is read is accepted whatever its position. */
    public void forget() {
        holder = "";
        position = StorePosition.NONE;
    }

    /** Returns the newest known position of the record. */
    public StorePosition position() {
        return position;
    }

    /** Returns the epoch of the current holding; it rises with each takeover. */
    public long epoch() {
        return epoch;
    }

    /** Returns whether this process holds the lease, as far as it knows. */
    public boolean isHeld() {
        return isKnown() && holder.equals(self);
    }

    /** Returns whether the holder has not renewed the lease for so long that it may be taken over. */
    public boolean hasLapsed(long now) {
        long unchangedMillis = TimeUnit.NANOSECONDS.toMillis(now - positionChangedAt);
        return isKnown() && !isHeld() && unchangedMillis > MAX_MISSED_RENEWALS * renewMillis;
    }

    /**
     * Records that this process has acquired the lease.
     *
     * @param heldBefore whether another process held it before
     * @param now the monotonic time, in nanoseconds
     */
    public void acquired(boolean heldBefore, long now) {
        ordersFrom = heldBefore ? now + TimeUnit.MILLISECONDS.toNanos(firstOrderDelayMillis) : now;
    }

    /**
     * Records a renewal that the store has confirmed.
     *
     * @param sentMonotonicNanos monotonic time at which it was sent, in nanoseconds
     * @param sentWallMillis time of day at which it was sent, in milliseconds
     */
    public void renewed(long sentMonotonicNanos, long sentWallMillis) {
        hasRenewed = true;
        renewedMonotonicNanos = sentMonotonicNanos;
        renewedWallMillis = sentWallMillis;
    }

    /**
     * Returns whether an order may be sent now. Both clocks have to agree that the renewal is recent, because the
     * monotonic one does not count the time for which a machine was suspended, and the time of day may jump.
     */
    public boolean mayOrder(long monotonicNanos, long wallMillis) {
        long monotonicAgeMillis = TimeUnit.NANOSECONDS.toMillis(monotonicNanos - renewedMonotonicNanos);
        long wallAgeMillis = wallMillis - renewedWallMillis;
        boolean recent = monotonicAgeMillis <= ORDER_VALID_MILLIS && Math.abs(wallAgeMillis) <= ORDER_VALID_MILLIS;
        return isHeld() && hasRenewed && recent && monotonicNanos - ordersFrom >= 0;
    }
}
