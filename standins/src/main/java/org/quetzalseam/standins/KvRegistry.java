package org.quetzalseam.standins;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;

/** Holds the KV caches of prefill engines until a decode engine fetches them, at most once, or they expire. Thread-safe. */
public final class KvRegistry {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * A KV cache of one prompt.
     *
     * @param promptHash hash of the prompt
     * @param tokens length of the prompt, in tokens
     * @param expiresAtNanos when it expires, in nanoseconds of the monotonic clock
     */
    record KvCache(String promptHash, int tokens, long expiresAtNanos) {}

    private final Map<String, KvCache> caches = new HashMap<>();
    private long madeTokens;
    private long wastedTokens;

    synchronized void put(String id, String prompt, int tokens, long lifeMillis) {
        caches.put(id, new KvCache(prompt, tokens, System.nanoTime() + lifeMillis * NANOS_PER_MILLI));
        madeTokens += tokens;
    }

    synchronized Optional<KvCache> fetch(String id) {
        removeExpired();
        return Optional.ofNullable(caches.remove(id));
    }

    private void removeExpired() {
        long now = System.nanoTime();
        Iterator<KvCache> all = caches.values().iterator();
        while (all.hasNext()) {
            KvCache kv = all.next();
            if (kv.expiresAtNanos() - now < 0) {
                wastedTokens += kv.tokens();
                all.remove();
            }
        }
    }

    /** Records prompt tokens whose prefill was wasted. */
    synchronized void recordWasted(int tokens) {
        wastedTokens += tokens;
    }

    /** Returns the number of prompt tokens whose KV caches have been stored so far. */
    public synchronized long madeTokens() {
        return madeTokens;
    }

    /** Returns the number of prefilled prompt tokens that were wasted or whose KV cache has not been fetched yet. */
    public synchronized long wastedTokens() {
        return wastedTokens
                + caches.values().stream().mapToLong(KvCache::tokens).sum();
    }
}
