package org.quetzalseam.wire.message;

import java.util.List;

/**
 * How a call uses an idempotency key. Immutable.
 *
 * @param key digest of owner, service and key; empty when the call has none
 * @param fingerprint digest of the request, by which different requests with the same key are told apart
 * @param mintedAtMillis when the caller created the key, in milliseconds since the Unix epoch, or 0 when the key
 *     does not contain its creation time
 * @param unchangedMillis how long the members of the endpoint's pool have been the same at the entry, in milliseconds
 * @param members version of the list of VMs by which the entry chose the endpoint
 * @param fencedFor incarnation of the endpoint on whose behalf every other process that may have seen the key has fenced
 *     it, or 0; the result of that inquiry is not valid for a later incarnation
 * @param released incarnations that have left without having run the key and never will run it, so that fences set on
 *     their behalf may be lifted
 */
public record KeyUse(
        String key,
        String fingerprint,
        long mintedAtMillis,
        long unchangedMillis,
        long members,
        long fencedFor,
        List<Long> released) {
    /** Copies the list. */
    public KeyUse {
        released = List.copyOf(released);
    }

    /** Returns the value for a call without a key. */
    public static KeyUse none() {
        return new KeyUse("", "", 0, 0, 0, 0, List.of());
    }

    /** Returns whether the call has a key. */
    public boolean isPresent() {
        return !key.isEmpty();
    }
}
