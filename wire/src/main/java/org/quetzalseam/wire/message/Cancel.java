package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Asks an endpoint to drop an attempt in whatever state it is, because the caller has disconnected or has its answer.
 *
 * @param attempt the attempt
 */
public record Cancel(AttemptId attempt) implements AttemptMessage {}
