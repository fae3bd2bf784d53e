package org.quetzalseam.core.keyed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * The idempotency keys that one endpoint process has seen. A key that is claimed runs here and nowhere else; a second
 * request with the same key waits for the first one's answer or receives it again.
 *
 * <p>Another process that has become the holder of a key asks this one to {@link #fence} it: a key that was never seen
 * here can from then on not be claimed here, and one that was seen is reported, so that it isn't run a second time.
 *
 * <p>Thread-safe. Times are nanoseconds of one monotonic clock.
 *
 * @param <A> the answer kept for a key
 */
public final class KeyTable<A> {
    /** What a claim found. */
    public enum Claim {
        /** The key is new: the claimant runs the request and then calls {@code finish} or {@code release}. */
        OWNED,
        /** The key's request runs or has ended: the listener has been or will be called with its answer. */
        ATTACHED,
        /** The key belongs to another request: its fingerprint differs. */
        MISMATCH,
        /** The key has moved to another holder. */
        FENCED
    }

    private static final class KeyRecord<A> {
        final String fingerprint;
        final List<Consumer<A>> listeners = new ArrayList<>();

        @Nullable
        A answer;

        boolean fenced;
        long changedAtNanos;

        KeyRecord(String fingerprint, long changedAt) {
            this.fingerprint = fingerprint;
            this.changedAtNanos = changedAt;
        }
    }

    private final long retentionNanos;
    private final Map<String, KeyRecord<A>> records = new HashMap<>();

    /** Creates an empty table that remembers a key for {@code retentionNanos} after its last change. */
    public KeyTable(long retentionNanos) {
        if (retentionNanos <= 0) {
            throw new IllegalArgumentException("retentionNanos: expected > 0, got " + retentionNanos);
        }
        this.retentionNanos = retentionNanos;
    }

    /**
     * Claims a key.
     *
     * @param key the key, with its owner and service in front
     * @param fingerprint digest of the request, so that one key isn't used for two requests
     * @param listener called with the answer when the claim is {@code ATTACHED}
     * @param now the current time
     */
    public Claim claim(String key, String fingerprint, Consumer<A> listener, long now) {
        A answer;
        synchronized (this) {
            KeyRecord<A> entry = records.get(key);
            if (entry == null) {
                records.put(key, new KeyRecord<>(fingerprint, now));
                return Claim.OWNED;
            }
            if (entry.fenced) {
                return Claim.FENCED;
            }
            if (!entry.fingerprint.equals(fingerprint)) {
                return Claim.MISMATCH;
            }
            answer = entry.answer;
            if (answer == null) {
                entry.listeners.add(listener);
                return Claim.ATTACHED;
            }
        }
        listener.accept(answer);
        return Claim.ATTACHED;
    }

    /** Returns whether the key is known here, so that no other process need be asked about it. */
    public synchronized boolean isKnown(String key) {
        return records.containsKey(key);
    }

    /** Returns the keys that were claimed or barred here and are not yet forgotten. */
    public synchronized List<String> retainedKeys() {
        return List.copyOf(records.keySet());
    }

    /** Keeps the answer of a claimed key and hands it to every request that waits for it. */
    public void finish(String key, A answer, long now) {
        complete(key, answer, true, now);
    }

    /** Forgets a claimed key whose request was proved not to have run; those that wait receive {@code answer}. */
    public void release(String key, A answer, long now) {
        complete(key, answer, false, now);
    }

    private void complete(String key, A answer, boolean keep, long now) {
        List<Consumer<A>> waiting;
        synchronized (this) {
            KeyRecord<A> entry = records.get(key);
            if (entry == null) {
                return;
            }
            waiting = List.copyOf(entry.listeners);
            entry.listeners.clear();
            entry.changedAtNanos = now;
            if (keep) {
                entry.answer = answer;
            } else if (!entry.fenced) {
                records.remove(key);
            }
        }
        waiting.forEach(listener -> listener.accept(answer));
    }

    /**
     * Bars a key from being claimed here because another process holds it now. Returns true when the key was never
     * claimed here, false when it was: then it may have run, and the new holder must not run it.
     */
    public synchronized boolean fence(String key, long now) {
        KeyRecord<A> entry = records.get(key);
        if (entry == null) {
            KeyRecord<A> tombstone = new KeyRecord<>("", now);
            tombstone.fenced = true;
            records.put(key, tombstone);
            return true;
        }
        return entry.fenced;
    }

    /** Forgets settled keys older than the retention. Returns how many were dropped. */
    public synchronized int purge(long now) {
        int before = records.size();
        records.values()
                .removeIf(
                        entry -> (entry.fenced || entry.answer != null) && now - entry.changedAtNanos > retentionNanos);
        return before - records.size();
    }

    /** Returns how many keys are remembered. */
    public synchronized int size() {
        return records.size();
    }
}
