package org.quetzalseam.core.limits;

import java.util.HashMap;
import java.util.Map;
import org.quetzalseam.core.catalogue.EntrySpec;

/**
 * Applies the rate and concurrency limits of catalogue entries at one entry process. Each process applies its share of
 * a limit: the limit divided by the number of entry processes, never less than one request.
 *
 * <p>Thread-safe. Limits follow the {@link EntrySpec} that each call passes, so a catalogue change takes effect at
 * once.
 */
public final class EntryLimiter {
    /** Size of a burst, in seconds at the limit's rate. */
    private static final double BURST_SECONDS = 1.0;

    /** Whether a request was accepted, or which limit it exceeds. */
    public enum Verdict {
        /** The request is accepted; {@link EntryLimiter#leave} must be called at its end. */
        ENTERED,
        /** More requests per second than the entry allows. */
        RATE,
        /** More concurrent requests than the entry allows. */
        CONCURRENCY
    }

    private static final class Usage {
        TokenBucket bucket;
        double rate;
        int running;

        Usage(double rate, long now) {
            this.rate = rate;
            this.bucket = bucketFor(rate, now);
        }

        static TokenBucket bucketFor(double rate, long now) {
            return new TokenBucket(rate, Math.max(1, rate * BURST_SECONDS), now);
        }
    }

    private final Map<String, Usage> usages = new HashMap<>();

    /** Accepts and counts a request, or returns which limit it would exceed. */
    public synchronized Verdict enter(EntrySpec entry, int processes, long now) {
        double rate = entry.limits().ratePerSecond() / Math.max(1, processes);
        int concurrency = Math.max(1, entry.limits().concurrency() / Math.max(1, processes));
        Usage usage = usages.computeIfAbsent(entry.name(), unused -> new Usage(rate, now));
        if (usage.rate != rate) {
            usage.rate = rate;
            usage.bucket = Usage.bucketFor(rate, now);
        }
        if (usage.running >= concurrency) {
            return Verdict.CONCURRENCY;
        }
        if (!usage.bucket.take(now)) {
            return Verdict.RATE;
        }
        usage.running++;
        return Verdict.ENTERED;
    }

    /** Records the end of a request that was accepted. */
    public synchronized void leave(String entry) {
        Usage usage = usages.get(entry);
        if (usage == null || usage.running == 0) {
            throw new IllegalStateException("entry " + entry + ": no accepted request is in progress");
        }
        usage.running--;
    }

    /** Returns the time after which a request that was refused for its rate may be retried, in nanoseconds. */
    public synchronized long retryAfterNanos(String entry, long now) {
        Usage usage = usages.get(entry);
        return usage == null ? 0 : usage.bucket.nanosUntilNext(now);
    }
}
