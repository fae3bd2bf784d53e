package org.quetzalseam.core.generation;

import java.util.concurrent.TimeUnit;
import org.quetzalseam.core.store.StorePosition;

/**
 * What one process knows of a lease that is a record in a shared store: who holds it, and when it may be taken over or used.
 * Not thread-safe.
 *
 * <p>The record's position rises with each renewal. A process takes a lease over when its position has stood still for far
 * longer than a holder lets pass between renewals, by its own monotonic clock; the take-over is conditional on that position,
 * so that one process wins. An order is given only right after a renewal, and by a new holder only when any order of the
 * holder before it is long past.
 */
public final class OrderLease {
    /** Renewals that may be missed before the lease is taken over. */
    private static final int MISSED_RENEWALS = 3;
    /** How long after the start of a renewal an order may leave: well within the shortest lease. */
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
     * Creates a view of a lease that has not been read yet.
     *
     * @param self this process's name
     * @param renewMillis how often a holder renews it
     * @param firstOrderDelayMillis how long a new holder waits before its first order
     */
    public OrderLease(String self, long renewMillis, long quietMillis) {
        this.self = self;
        this.renewMillis = renewMillis;
        this.firstOrderDelayMillis = quietMillis;
    }

    /** Notes the record as read or written. */
    public void observe(String recordHolder, long recordEpoch, StorePosition recordPosition, long now) {
        if (!position.isBefore(recordPosition)) {
            return;
        }
        holder = recordHolder;
        epoch = recordEpoch;
        position = recordPosition;
        positionChangedAt = now;
    }

    /** Returns whether the record has been read, or written, since the start. */
    public boolean isKnown() {
        return !position.equals(StorePosition.NONE);
    }

    /** Forgets the record: what is read next is believed, whatever its position. */
    public void forget() {
        holder = "";
        position = StorePosition.NONE;
    }

    /** Returns the record's newest position. */
    public StorePosition position() {
        return position;
    }

    /** Returns the number of the present holding; it rises with each take-over. */
    public long epoch() {
        return epoch;
    }

    /** Returns whether this process holds the lease, as far as it knows. */
    public boolean isHeld() {
        return isKnown() && holder.equals(self);
    }

    /** Returns whether the holder has been silent for so long that the lease may be taken over. */
    public boolean hasLapsed(long now) {
        long silent = TimeUnit.NANOSECONDS.toMillis(now - positionChangedAt);
        return isKnown() && !isHeld() && silent > MISSED_RENEWALS * renewMillis;
    }

    /** Notes that this process has taken the lease; {@code after} tells whether another one held it before. */
    public void acquired(boolean after, long now) {
        ordersFrom = after ? now + TimeUnit.MILLISECONDS.toNanos(firstOrderDelayMillis) : now;
    }

    /**
     * Notes a renewal that the store has confirmed.
     *
     * @param sentSteady monotonic time in nanoseconds at which it was sent
     * @param sentWall time of day in milliseconds at which it was sent
     */
    public void renewed(long sentSteady, long sentWall) {
        hasRenewed = true;
        renewedMonotonicNanos = sentSteady;
        renewedWallMillis = sentWall;
    }

    /**
     * Returns whether an order may leave now. Both clocks have to agree that the renewal is recent: the monotonic one doesn't
     * count the time for which a machine was suspended, and the time of day may jump.
     */
    public boolean mayOrder(long steady, long wall) {
        long sinceSteady = TimeUnit.NANOSECONDS.toMillis(steady - renewedMonotonicNanos);
        long sinceWall = wall - renewedWallMillis;
        boolean recent = sinceSteady <= ORDER_VALID_MILLIS && Math.abs(sinceWall) <= ORDER_VALID_MILLIS;
        return isHeld() && hasRenewed && recent && steady - ordersFrom >= 0;
    }
}
