package org.quetzalseam.gateway.store;

import java.util.concurrent.TimeUnit;

/**
 * The time after an outage of the store in which objects of live processes may be missing, because they lapsed and have yet to be
 * written again. One call that is broken off or rejected is not an outage: the next one, which is answered at once, shows whether the
 * store is there. Not thread-safe. Times are monotonic nanoseconds.
 *
 * <p>The window ends at a fixed time after the outage, however late a deletion is read, so that the removal of an object whose process
 * really left is in force within its bound.
 */
final class RewriteWindow {
    /**
     * Time from the request of the first answer after an outage: live processes write their objects again within two seconds of the
     * store's return, and a removal after that return must be in force within two seconds.
     */
    static final long REWRITE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_900);
    /**
     * Time from the request of the last failed call, since which the store may have been back: removals must be in force again within
     * their bound from three seconds after its return.
     */
    static final long SETTLED_NANOS = TimeUnit.MILLISECONDS.toNanos(2_900);

    private int failuresInARow;
    private long lastFailureSentAt;
    private boolean outage;
    private boolean everOpened;
    private long endsAt;

    /**
     * Records a call without an answer.
     *
     * @param sentAt when it was requested
     * @param late whether its answer was late, as opposed to a call that was broken off or rejected in time
     * @return whether an outage has begun with it
     */
    boolean callFailed(long sentAt, boolean late) {
        boolean before = outage;
        failuresInARow++;
        lastFailureSentAt = sentAt;
        outage |= late || failuresInARow > 1;
        return outage && !before;
    }

    /**
     * Records an answer.
     *
     * @param sentAt when it was requested
     * @param late whether it was late, so that together with failed calls before it the store was away for longer than one call
     * @return whether an outage has ended with it
     */
    boolean callAnswered(long sentAt, boolean late) {
        boolean ended = outage || (failuresInARow > 0 && late);
        failuresInARow = 0;
        outage = false;
        if (ended) {
            open(Math.min(sentAt + REWRITE_NANOS, lastFailureSentAt + SETTLED_NANOS));
        }
        return ended;
    }

    /** Records that an answer showed the store to be restored from an older copy. */
    void storeRestored(long sentAt) {
        open(sentAt + REWRITE_NANOS);
    }

    private void open(long until) {
        everOpened = true;
        endsAt = until;
    }

    /** Returns whether the store is away, as far as known. */
    boolean outage() {
        return outage;
    }

    /** Returns for how much longer objects of live processes may be missing, in nanoseconds; 0 if they should all be there. */
    long remaining(long now) {
        return everOpened ? Math.max(0, endsAt - now) : 0;
    }
}
