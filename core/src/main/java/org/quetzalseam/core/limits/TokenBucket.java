package org.quetzalseam.core.limits;

/** A token bucket that starts full. Not thread-safe. Times are monotonic, in nanoseconds. */
public final class TokenBucket {
    private static final double NANOS_PER_SECOND = 1e9;

    private final double perSecond;
    private final double burst;
    private double tokens;
    private long refilledAt;

    /**
     * Creates a full bucket.
     *
     * @param perSecond refill rate in tokens per second, positive
     * @param burst capacity in tokens, at least 1
     * @param now the current time
     */
    public TokenBucket(double perSecond, double burst, long now) {
        if (perSecond <= 0 || burst < 1) {
            throw new IllegalArgumentException(
                    "perSecond, burst: expected > 0 and >= 1, got " + perSecond + ", " + burst);
        }
        this.perSecond = perSecond;
        this.burst = burst;
        this.tokens = burst;
        this.refilledAt = now;
    }

    /** Takes one token. Returns false, and takes nothing, if there is none. */
    public boolean take(long now) {
        refill(now);
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /** Returns the time until a token is available, in nanoseconds; 0 if one is available now. */
    public long nanosUntilNext(long now) {
        refill(now);
        return tokens >= 1 ? 0 : (long) ((1 - tokens) / perSecond * NANOS_PER_SECOND);
    }

    private void refill(long now) {
        tokens = Math.min(burst, tokens + Math.max(0, now - refilledAt) / NANOS_PER_SECOND * perSecond);
        refilledAt = now;
    }
}
