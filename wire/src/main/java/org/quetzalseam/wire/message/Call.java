package org.quetzalseam.wire.message;

import java.util.Map;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Asks a service endpoint to run one call.
 *
 * @param attempt the attempt
 * @param work the work to queue
 * @param method HTTP method
 * @param path path and query, relative to the service
 * @param headers headers to forward to the service
 * @param body request body
 * @param timeoutMillis longest time that the call may run, in milliseconds
 * @param idempotent whether the call may safely run more than once
 * @param key how the call uses an idempotency key
 */
public record Call(
        AttemptId attempt,
        Work work,
        String method,
        String path,
        Map<String, String> headers,
        byte[] body,
        long timeoutMillis,
        boolean idempotent,
        KeyUse key)
        implements AttemptMessage {}
