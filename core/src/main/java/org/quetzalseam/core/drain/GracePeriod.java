package org.quetzalseam.core.drain;

import java.util.concurrent.TimeUnit;

/**
 * The time between the signal to stop and the end of the process. Decides by what is left of it which requests are still taken,
 * when those that aren't may come back, and when the process may end before its time. Not thread-safe.
 *
 * <p>A request that can't end in what is left is refused at once, as not run: taken, it would be cut at the end, and its caller
 * could not know whether it has run. Callers are not turned away for any other reason: where all entries of a site leave together,
 * nobody else would take them.
 */
public final class GracePeriod {
    /**
     * How long callers are still sent here who could go elsewhere, in nanoseconds: the balancer asks once a second, and takes an
     * entry out after two answers that it isn't ready.
     */
    private static final long BALANCER_NOTICE_NANOS = TimeUnit.SECONDS.toNanos(3);
    /**
     * How sure the end of a request must be while the balancer hasn't noticed, in standard deviations: nine in ten. A refusal
     * costs the caller one of few tries, a cut stream all of what it has waited for.
     */
    private static final double EARLY_DEVIATIONS = 1.28;
    /** The same afterwards, in standard deviations: all but about one in a thousand, as many may come until the end. */
    private static final double LATE_DEVIATIONS = 3;
    /** How long no request has been taken when the balancer is taken to have nobody left to send, in nanoseconds. */
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(1);
    /** Time kept from the grace period for last words and the end of the process, in nanoseconds. */
    private static final long END_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
    /** When to come back if another entry takes the request, in milliseconds: a new connection is enough. */
    private static final long ELSEWHERE_MILLIS = 100;
    /** From the end of a process until its successor gets callers, in milliseconds: 1.2 s to start, a second to be noticed. */
    private static final long RESTART_MILLIS = 2_200;

    private final long begunAt;
    private final long endsAt;
    private final long acceptUntil;
    private long lastAcceptedAt;

    /**
     * Begins a grace period. Times are monotonic, in nanoseconds.
     *
     * @param begunAt when the process was told to stop
     * @param graceNanos how long after that it is killed
     * @param rank this process's place among those that serve the same callers, from 0
     * @param processes how many of them there are
     */
    public GracePeriod(long begunAt, long graceNanos, int rank, int processes) {
        this.begunAt = begunAt;
        this.endsAt = begunAt + graceNanos - END_MARGIN_NANOS;
        long shared = Math.max(0, endsAt - begunAt - BALANCER_NOTICE_NANOS);
        this.acceptUntil = endsAt - shared + shared * (rank + 1) / processes;
        this.lastAcceptedAt = begunAt;
    }

    /**
     * Returns how long requests may still run that are taken now, in milliseconds; not above 0 when none is. Once the balancer must
     * have noticed, callers come only where all leave: then the processes give up taking one after the other, in the order of
     * their ranks, so that the first are back before the last have gone.
     */
    public long remainingMillis(long now) {
        return TimeUnit.NANOSECONDS.toMillis((isNoticed(now) ? acceptUntil : endsAt) - now);
    }

    /** Returns how sure the end of a request must be for it to be taken, in standard deviations. */
    public double requiredDeviations(long now) {
        return isNoticed(now) ? LATE_DEVIATIONS : EARLY_DEVIATIONS;
    }

    /** Decides whether a request that ends within the given time is still taken, and notes it if so. */
    public boolean accept(long now, long boundMillis) {
        if (boundMillis > remainingMillis(now)) {
            return false;
        }
        lastAcceptedAt = now;
        return true;
    }

    /**
     * Returns when a caller finds an entry that takes it who is refused because this one stops, in milliseconds. Who is still sent
     * here after the balancer must have noticed finds no other one: this entry's successor is the next that is known of. Those who
     * are refused until then come back over as long a time as they were refused in, as the successor has just started.
     *
     * @param now the time
     * @param draw a number drawn evenly from 0 to 1
     */
    public long retryAfterMillis(long now, double draw) {
        if (!isNoticed(now)) {
            return ELSEWHERE_MILLIS;
        }
        long refusing = TimeUnit.NANOSECONDS.toMillis(Math.max(0, acceptUntil - begunAt - BALANCER_NOTICE_NANOS));
        return Math.max(0, remainingMillis(now)) + RESTART_MILLIS + (long) (draw * refusing);
    }

    /**
     * Returns when a caller may come back who found no room that this entry expects to have after the given time. Who waits so long
     * for room needs about as long again once there is some; where both fit, this entry serves it sooner than its successor.
     */
    public long retryAfterMillis(long now, double draw, long roomMillis) {
        return 2 * roomMillis <= remainingMillis(now) ? roomMillis : retryAfterMillis(now, draw);
    }

    /** Returns whether the balancer must have noticed that this entry leaves. */
    public boolean isNoticed(long now) {
        return now - begunAt > BALANCER_NOTICE_NANOS;
    }

    /** Returns whether whatever is still under way has to end now. */
    public boolean isOver(long now) {
        return now - endsAt >= 0;
    }

    /** Returns whether nothing is left to do: nothing is under way, and nobody is sent here any more. */
    public boolean mayEndEarly(long now, int requestsUnderWay) {
        boolean nobodyComes = now - lastAcceptedAt > IDLE_NANOS || now - acceptUntil >= 0;
        return requestsUnderWay == 0 && isNoticed(now) && nobodyComes;
    }
}
