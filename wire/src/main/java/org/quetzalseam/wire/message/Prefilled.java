package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Reports that a prompt has been prefilled. Its KV cache can be fetched for a short time only.
 *
 * @param attempt the attempt
 * @param transfer the engine's description of the KV cache, as JSON
 * @param load the endpoint's load
 */
public record Prefilled(AttemptId attempt, byte[] transfer, Load load) implements AttemptReply {}
