package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Asks a decode endpoint to book a slot in its engine's memory, before any prefill is done.
 *
 * @param attempt the attempt
 * @param work the work to queue
 * @param leadMillis expected time from booking until the KV cache arrives, in milliseconds
 */
public record Book(AttemptId attempt, Work work, long leadMillis) implements AttemptMessage {}
