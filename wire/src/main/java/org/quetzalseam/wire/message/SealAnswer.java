package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.SealResult;

/**
 * Answers a {@link Seal}.
 *
 * @param attempt the attempt
 * @param result state of the attempt at the endpoint
 * @param load the endpoint's load
 */
public record SealAnswer(AttemptId attempt, SealResult result, Load load) implements AttemptReply {}
