package org.quetzalseam.core.drain;

import java.util.concurrent.TimeUnit;

/**
 * Grace period between the signal to stop and the end of the process. Decides by the remaining time which requests are
 * still accepted, after which time refused callers retry, and when the process may end early. Not thread-safe.
 *
 * <p>A request that cannot end in the remaining time is refused at once, as not run: if it were accepted, it would be
 * cut off at the end, and its caller could not know whether it has run. Requests are refused for no other reason,
 * because where all entries of a site shut down together, no other entry would accept them.
 *
 * <p>While the balancer still sends callers here, a request is accepted if it is expected to end in time. Afterwards it must
 * end in time for certain: by its own time limit, however long its work lasts.
 */
public final class GracePeriod {
    /**
     * How long the balancer still sends callers here that it could send elsewhere, in nanoseconds: it checks once a
     * second, and removes an entry after two responses that it is not ready.
     */
    private static final long BALANCER_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /**
     * How long requests are accepted that are only expected to end in time, in nanoseconds: less than the time until the
     * balancer must have noticed, because a caller's request is older than its last byte and the stop signal older than
     * the grace period as this process knows it.
     */
    private static final long EXPECTATION_NANOS = BALANCER_NOTICE_NANOS - TimeUnit.MILLISECONDS.toNanos(500);
    /**
     * Certainty required of a request's end before the balancer must have noticed, in standard deviations: nine in ten.
     * A refusal costs the caller one of few attempts, a stream that is cut off all that it has waited for.
     */
    private static final double EARLY_DEVIATIONS = 1.28;
    /**
     * The same afterwards, in standard deviations: all but about one in a thousand, because many requests may arrive
     * until the end.
     */
    private static final double LATE_DEVIATIONS = 3;
    /** Time without an accepted request after which the balancer is assumed to send no more, in nanoseconds. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /**
     * Time reserved at the end of the grace period for the last messages and the exit of the process, in nanoseconds.
     */
    private static final long END_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** Retry delay where another entry can accept the request, in milliseconds: a new connection is enough. */
    private static final long ELSEWHERE_MILLIS = 100;
    /**
     * Time from the end of a process until its successor receives requests, in milliseconds: 1.2 s to start, 1 s until
     * the balancer notices.
     */
    private static final long RESTART_MILLIS = 2_200;

    private final long begunAt;
    private final long endsAt;
    private final long acceptUntil;
    private long lastAcceptedAt;

    /**
     * Begins a grace period. All times are monotonic, in nanoseconds.
     *
     * @param begunAt when the process received the signal to stop
     * @param graceNanos how long after that the process is killed
     * @param rank this process's rank among those that serve the same callers, from 0
     * @param processes how many of them there are
     */
    public GracePeriod(long begunAt, long graceNanos, int rank, int processes) {
        this.begunAt = begunAt;
        this.endsAt = begunAt + graceNanos - END_MARGIN_NANOS;
        long sharedNanos = Math.max(0, endsAt - begunAt - BALANCER_NOTICE_NANOS);
        this.acceptUntil = endsAt - sharedNanos + sharedNanos * (rank + 1) / processes;
        this.lastAcceptedAt = begunAt;
    }

    /**
     * Returns how long a request that is accepted now may run, in milliseconds; 0 or negative if none is accepted. Once
     * the balancer must have noticed, requests arrive only where all processes shut down: then the processes stop
     * accepting one after the other, in the order of their ranks, so that the first have restarted before the last have
     * ended.
     */
    public long remainingMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis((isNoticed(now) ? acceptUntil : endsAt) - now);
    }

    /**
     * Returns the certainty required of a request's end for it to be accepted, in standard deviations above its median
     * duration.
     */
    public double requiredDeviations(long now) {
        return isNoticed(now) ? LATE_DEVIATIONS : EARLY_DEVIATIONS;
    }

    /**
     * Returns whether it is sufficiently certain that a request ends before this process does: whether it arrived while an
     * expectation suffices, or its time limit passes before the end.
     *
     * @param arrivedAt when the request was complete
     * @param now the monotonic time, in nanoseconds
     * @param limitMillis how long the request can last at the most
     */
    public boolean endsForCertain(long arrivedAt, long now, long limitMillis) {
        return arrivedAt - begunAt <= EXPECTATION_NANOS || limitMillis <= TimeUnit.NANOSECONDS.toMillis(endsAt - now);
    }

    /** Returns whether a request that ends within the given time is still accepted, and records it if so. */
    public boolean accept(long now, long boundMillis) {
        if (boundMillis > remainingMillis(now)) {
            return false;
        }
        lastAcceptedAt = now;
        return true;
    }

    /**
     * Returns after which time a caller that is refused because this entry stops should retry, in milliseconds. A
     * caller that is still sent here after the balancer must have noticed finds no other entry: this entry's successor
     * is the next one known. Callers that are refused until the successor has started retry spread over as long a time
     * as that in which they were refused, because the successor has just started.
     *
     * @param now the monotonic time, in nanoseconds
     * @param draw a random number, uniformly distributed from 0 to 1
     */
    public long retryAfterMillis(long now, double draw) {
        if (!isNoticed(now)) {
            return ELSEWHERE_MILLIS;
        }
        long refusingMillis = TimeUnit.NANOSECONDS.toMillis(Math.max(0, acceptUntil - begunAt - BALANCER_NOTICE_NANOS));
        return Math.max(0, remainingMillis(now)) + RESTART_MILLIS + (long) (draw * refusingMillis);
    }

    /**
     * Returns after which time a caller should retry that was refused for lack of capacity, which this entry expects to
     * have after {@code roomMillis}. A request that waits so long for capacity needs about as long again once there is
     * some; where both fit in the remaining time, this entry serves it sooner than its successor.
     */
    public long retryAfterMillis(long now, double draw, long roomMillis) {
        return 2 * roomMillis <= remainingMillis(now) ? roomMillis : retryAfterMillis(now, draw);
    }

    /** Returns whether the balancer must have noticed that this entry shuts down. */
    public boolean isNoticed(long now) {
        return now - begunAt > BALANCER_NOTICE_NANOS;
    }

    /** Returns whether all requests in progress have to end now. */
    public boolean isOver(long now) {
        return now - endsAt >= 0;
    }

    /**
     * Returns whether the process may end before the grace period does: no request is in progress, and none arrives any
     * more.
     */
    public boolean mayEndEarly(long now, int requestsInProgress) {
        boolean noneArrives = now - lastAcceptedAt > IDLE_NANOS || now - acceptUntil >= 0;
        return requestsInProgress == 0 && isNoticed(now) && noneArrives;
    }
}
