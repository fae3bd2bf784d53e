package org.quetzalseam.core.limits;

import java.util.HashMap;
import java.util.Map;
import org.quetzalseam.core.catalogue.EntrySpec;

/**
 * Applies the rate and concurrency limits of catalogue entries at one entry process. Each process applies its share of
 * a limit: the limit divided by the number of entry processes, never less than one request.
 *
 * <p>Thread-safe. Limits follow the {@link EntrySpec} that each call passes, so a catalogue change acts at once.
 */
public final class EntryLimiter {
    private static final double BURST_SECONDS = 1.0;

    /** Why a request was turned away, or that it was not. */
    public enum Verdict {
        /** The request may go on; {@link EntryLimiter#leave} must be called at its end. */
        ENTERED,
        /** More requests a second than the entry allows. */
        RATE,
        /** More requests at once than the entry allows. */
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

    /** Counts a request in, or says which limit it would break. */
    public synchronized Verdict enter(EntrySpec entry, int processes, long now) {
        double rate = entry.limits().ratePerSecond() / Math.max(1, processes);
        int concurrency = Math.max(1, entry.limits().concurrency() / Math.max(1, processes));
        Usage use = usages.computeIfAbsent(entry.name(), unused -> new Usage(rate, now));
        if (use.rate != rate) {
            use.rate = rate;
            use.bucket = Usage.bucketFor(rate, now);
        }
        if (use.running >= concurrency) {
            return Verdict.CONCURRENCY;
        }
        if (!use.bucket.take(now)) {
            return Verdict.RATE;
        }
        use.running++;
        return Verdict.ENTERED;
    }

    /** Counts a request out. */
    public synchronized void leave(String entry) {
        Usage use = usages.get(entry);
        if (use == null || use.running == 0) {
            throw new IllegalStateException("entry " + entry + ": a request left that had not entered");
        }
        use.running--;
    }

    /** Returns the nanoseconds after which a request refused for its rate may come again. */
    public synchronized long retryAfterNanos(String entry, long now) {
        Usage use = usages.get(entry);
        return use == null ? 0 : use.bucket.nanosUntilNext(now);
    }
}
