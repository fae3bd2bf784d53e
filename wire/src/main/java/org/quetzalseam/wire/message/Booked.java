package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Reports that a slot in the decode engine's memory is booked for the attempt from now on.
 *
 * @param attempt the attempt
 * @param load the endpoint's load
 */
public record Booked(AttemptId attempt, Load load) implements AttemptReply {}
