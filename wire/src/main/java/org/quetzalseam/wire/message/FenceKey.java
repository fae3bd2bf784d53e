package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Asks an endpoint to fence a key: to refuse it from now on unless the endpoint has already seen it.
 *
 * @param attempt the attempt that is to use the key at another endpoint
 * @param key digest of owner, service and key
 * @param mintedAtMillis when the caller created the key, in milliseconds since the Unix epoch, or 0 when the key
 *     does not contain its creation time
 * @param holder incarnation of the endpoint on whose behalf the key is fenced, or 0 when it is not known, as from an entry
 *     of an earlier version; such a fence is never lifted
 */
public record FenceKey(AttemptId attempt, String key, long mintedAtMillis, long holder) implements AttemptMessage {
    /** Creates the order for a fence that is never lifted. */
    public FenceKey(AttemptId attempt, String key, long mintedAtMillis) {
        this(attempt, key, mintedAtMillis, 0);
    }
}
