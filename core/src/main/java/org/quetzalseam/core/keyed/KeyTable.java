package org.quetzalseam.core.keyed;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Records the idempotency keys that one endpoint process has seen. The request of a claimed key runs here and nowhere
 * else; another request with the same key waits for the answer of the first, or receives the stored answer.
 *
 * <p>A process that has become the holder of a key asks this one to {@link #fence} it. A key never seen here can no
 * longer be claimed here; a key that was claimed here is reported, so that its request does not run twice.
 *
 * <p>Thread-safe. Times are nanoseconds of one monotonic clock.
 *
 * @param <A> the answer kept for a key
 */
public final class KeyTable<A> {
    /** Result of a claim. */
    public enum Claim {
        /** The key is new: the claimant must run the request and then call {@code finish} or {@code release}. */
        OWNED,
        /** The request of this key is running or has ended: the listener has been or will be called with its answer. */
        ATTACHED,
        /** The key belongs to a different request: the fingerprints differ. */
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

    /** Creates an empty table that retains a key for {@code retentionNanos} after its last change. */
    public KeyTable(long retentionNanos) {
        if (retentionNanos <= 0) {
            throw new IllegalArgumentException("retentionNanos: expected > 0, got " + retentionNanos);
        }
        this.retentionNanos = retentionNanos;
    }

    /**
     * Claims a key.
     *
     * @param key the key, prefixed with its owner and service
     * @param fingerprint digest of the request, which detects the use of one key for two different requests
     * @param listener called with the answer when the claim is {@code ATTACHED}
     * @param now the current time, in monotonic nanoseconds
     */
    public Claim claim(String key, String fingerprint, Consumer<A> listener, long now) {
        A answer;
        synchronized (this) {
            KeyRecord<A> record = records.get(key);
            if (record == null) {
                records.put(key, new KeyRecord<>(fingerprint, now));
                return Claim.OWNED;
            }
            if (record.fenced) {
                return Claim.FENCED;
            }
            if (!record.fingerprint.equals(fingerprint)) {
                return Claim.MISMATCH;
            }
            answer = record.answer;
            if (answer == null) {
                record.listeners.add(listener);
                return Claim.ATTACHED;
            }
        }
        listener.accept(answer);
        return Claim.ATTACHED;
    }

    /** Returns whether this table has the key, so that no other process needs to be asked about it. */
    public synchronized boolean isKnown(String key) {
        return records.containsKey(key);
    }

    /** Returns the keys that were claimed or fenced here and have not been purged or released. */
    public synchronized List<String> retainedKeys() {
        return List.copyOf(records.keySet());
    }

    /** Stores the answer of a claimed key and delivers it to all requests that wait for it. */
    public void finish(String key, A answer, long now) {
        complete(key, answer, true, now);
    }

    /** Replaces the answer that is kept for a key, if there is one, to save its memory. The key stays claimed. */
    public synchronized void replaceAnswer(String key, A answer) {
        KeyRecord<A> record = records.get(key);
        if (record != null && record.answer != null) {
            record.answer = answer;
        }
    }

    /** Removes a claimed key whose request provably did not run; waiting requests receive {@code answer}. */
    public void release(String key, A answer, long now) {
        complete(key, answer, false, now);
    }

    private void complete(String key, A answer, boolean keepAnswer, long now) {
        List<Consumer<A>> listeners;
        synchronized (this) {
            KeyRecord<A> record = records.get(key);
            if (record == null) {
                return;
            }
            listeners = List.copyOf(record.listeners);
            record.listeners.clear();
            record.changedAtNanos = now;
            if (keepAnswer) {
                record.answer = answer;
            } else if (!record.fenced) {
                records.remove(key);
            }
        }
        listeners.forEach(listener -> listener.accept(answer));
    }

    /**
     * Prevents a key from being claimed here because another process holds it now. Returns true when the key was never
     * claimed here, false when it was: its request may then have run, and the new holder must not run it.
     */
    public synchronized boolean fence(String key, long now) {
        KeyRecord<A> record = records.get(key);
        if (record == null) {
            KeyRecord<A> tombstone = new KeyRecord<>("", now);
            tombstone.fenced = true;
            records.put(key, tombstone);
            return true;
        }
        return record.fenced;
    }

    /** Removes fenced and answered keys older than the retention time. Returns how many were removed. */
    public synchronized int purge(long now) {
        int before = records.size();
        records.values()
                .removeIf(record ->
                        (record.fenced || record.answer != null) && now - record.changedAtNanos > retentionNanos);
        return before - records.size();
    }

    /** Returns the number of keys in the table. */
    public synchronized int size() {
        return records.size();
    }
}
