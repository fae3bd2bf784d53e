package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Reports that the attempt has ended and how many outputs it has in total.
 *
 * @param attempt the attempt
 * @param count total number of outputs
 * @param reason the engine's finish reason, such as stop or length
 * @param load the endpoint's load
 */
public record Finished(AttemptId attempt, int count, String reason, Load load) implements AttemptReply {}
