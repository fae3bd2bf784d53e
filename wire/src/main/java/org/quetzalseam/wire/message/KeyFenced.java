package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Answers a {@link FenceKey}.
 *
 * @param attempt the attempt that asked
 * @param neverSeen whether the endpoint had never seen the key
 * @param load the endpoint's load
 */
public record KeyFenced(AttemptId attempt, boolean neverSeen, Load load) implements AttemptReply {}
