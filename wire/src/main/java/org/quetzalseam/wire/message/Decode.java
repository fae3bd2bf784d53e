package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Starts decoding in a booked slot.
 *
 * @param attempt the booked attempt
 * @param transfer the prefill engine's description of the KV cache, as JSON
 * @param body the engine's request, as JSON
 */
public record Decode(AttemptId attempt, byte[] transfer, byte[] body) implements AttemptMessage {}
