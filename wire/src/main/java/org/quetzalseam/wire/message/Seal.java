package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Seals an attempt: if it has not started, it never will. Also asks for its state, which a {@link SealAnswer} reports.
 *
 * @param attempt the attempt
 */
public record Seal(AttemptId attempt) implements AttemptMessage {}
