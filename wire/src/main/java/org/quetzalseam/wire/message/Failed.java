package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Reports that the attempt started and cannot be completed.
 *
 * @param attempt the attempt
 * @param code what failed
 * @param reason details without any content of the request
 * @param load the endpoint's load
 */
public record Failed(AttemptId attempt, FailureCode code, String reason, Load load) implements AttemptReply {}
