package org.quetzalseam.wire.message;

/**
 * How a call uses an idempotency key. Immutable.
 *
 * @param key digest of owner, service and key; empty when the call has none
 * @param fingerprint digest of the request, to tell two requests with one key apart
 * @param mintedAtMillis when the caller made the key, in milliseconds of the epoch, or 0 when the key doesn't tell
 * @param unchangedMillis how long the entry has seen the same members in the endpoint's pool
 * @param members version of the list of VMs by which the entry chose the endpoint
 * @param fencedFor incarnation of the endpoint for which every other process that may have seen the key has denied it, or
 *     0; the inquiry is worth nothing to a later incarnation
 */
public record KeyUse(
        String key, String fingerprint, long mintedAtMillis, long unchangedMillis, long members, long fencedFor) {
    /** Returns the value for calls without a key. */
    public static KeyUse none() {
        return new KeyUse("", "", 0, 0, 0, 0);
    }

    /** Returns whether there is a key. */
    public boolean isPresent() {
        return !key.isEmpty();
    }
}
