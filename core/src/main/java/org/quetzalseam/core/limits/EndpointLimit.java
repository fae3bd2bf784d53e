package org.quetzalseam.core.limits;

import java.util.concurrent.TimeUnit;

/**
 * What one entry knows of the limit that an endpoint's answers state. Not thread-safe. Times are monotonic nanoseconds.
 *
 * <p>Answers count in the order in which they arrive: an answer's head is written when the answer begins, whenever its request was
 * sent. A limit is lifted only by the answer to a request that ran, and only if no answer has stated it for the time in which some
 * must have: answers may overtake each other, and not each kind of answer need state it.
 */
public final class EndpointLimit {
    /** How long a limit holds after the last answer with a readable one, while answers state limits that can't be read. */
    private static final long UNREADABLE_HOLD_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Number of requests, at the stated limit, for whose duration no answer must have stated it before it is lifted. */
    private static final double LIFTING_REQUESTS = 3;
    /** Shortest time for which no answer must have stated a limit before it is lifted, in nanoseconds. */
    private static final long MIN_LIFTING_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** The longest such time, in nanoseconds: less than the time between two requests to an endpoint that states 0. */
    private static final long MAX_LIFTING_NANOS = TimeUnit.SECONDS.toNanos(3);

    private boolean known;
    private boolean limited;
    private double perSecond;
    private long knownAt;

    /**
     * Records what an answer states.
     *
     * @param stated the answer's statement
     * @param ran whether the endpoint ran the answer's request
     * @return whether the endpoint is limited otherwise than before
     */
    public boolean record(StatedLimit stated, boolean ran, long now) {
        return switch (stated.kind()) {
            case LIMITED -> apply(true, stated.perSecond(), now);
            case NONE -> ran && (!limited || now - knownAt >= liftingNanos()) && apply(false, 0, now);
            case UNREADABLE -> limited && now - knownAt > UNREADABLE_HOLD_NANOS && apply(false, 0, now);
        };
    }

    private long liftingNanos() {
        double nanos = LIFTING_REQUESTS / perSecond * TimeUnit.SECONDS.toNanos(1);
        return Math.max(MIN_LIFTING_NANOS, Math.min(MAX_LIFTING_NANOS, (long) nanos));
    }

    /**
     * Records what another entry knows, unless this one knows something newer.
     *
     * @param otherLimited whether the endpoint states a limit
     * @param otherPerSecond the limit
     * @param learnedAt when the other entry learnt it
     * @return whether the endpoint is limited otherwise than before
     */
    public boolean recordHeard(boolean otherLimited, double otherPerSecond, long learnedAt) {
        boolean newer = !known || learnedAt - knownAt > 0;
        return newer && apply(otherLimited, otherPerSecond, learnedAt);
    }

    private boolean apply(boolean newLimited, double newPerSecond, long at) {
        boolean changed = newLimited != limited || newPerSecond != perSecond;
        known = true;
        limited = newLimited;
        perSecond = newPerSecond;
        knownAt = at;
        return changed;
    }

    /** Returns whether the endpoint states a limit. */
    public boolean limited() {
        return limited;
    }

    /** Returns the limit in requests a second, 0 if there is none. */
    public double perSecond() {
        return perSecond;
    }

    /** Returns when the limit, or that there is none, was learnt last. */
    public long knownAt() {
        return knownAt;
    }
}
