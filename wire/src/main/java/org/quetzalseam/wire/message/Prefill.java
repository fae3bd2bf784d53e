package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Asks a prefill endpoint to prefill a prompt.
 *
 * @param attempt the attempt
 * @param work the work to queue
 * @param body the engine's request, as JSON
 */
public record Prefill(AttemptId attempt, Work work, byte[] body) implements AttemptMessage {}
