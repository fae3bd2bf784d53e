package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Asks for the outputs of a running or recently ended attempt from an index on, after a connection was lost.
 *
 * @param attempt the attempt
 * @param next index of the first output that is missing
 */
public record Resume(AttemptId attempt, int next) implements AttemptMessage {}
