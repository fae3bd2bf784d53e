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
     * @param prompt hash of the prompt
     * @param tokens length of the prompt, in tokens
     * @param expires when it expires, in nanoseconds of the monotonic clock
     */
    record Kv(String prompt, int tokens, long expires) {}

    private final Map<String, Kv> held = new HashMap<>();
    private long madeTokens;
    private long wastedTokens;

    synchronized void put(String id, String prompt, int tokens, long lifeMillis) {
        held.put(id, new Kv(prompt, tokens, System.nanoTime() + lifeMillis * NANOS_PER_MILLI));
        madeTokens += tokens;
    }

    synchronized Optional<Kv> take(String id) {
        sweep();
        return Optional.ofNullable(held.remove(id));
    }

    private void sweep() {
        long now = System.nanoTime();
        Iterator<Kv> all = held.values().iterator();
        while (all.hasNext()) {
            Kv kv = all.next();
            if (kv.expires() - now < 0) {
                wastedTokens += kv.tokens();
                all.remove();
            }
        }
    }

    /** Records prompt tokens whose prefill was wasted. */
    synchronized void wasted(int tokens) {
        wastedTokens += tokens;
    }

    /** Returns the number of prompt tokens whose KV caches have been stored so far. */
    public synchronized long madeTokens() {
        return madeTokens;
    }

    /** Returns the number of prefilled prompt tokens that were wasted or whose KV cache has not been fetched yet. */
    public synchronized long wastedTokens() {
        return wastedTokens + held.values().stream().mapToLong(Kv::tokens).sum();
    }
}
