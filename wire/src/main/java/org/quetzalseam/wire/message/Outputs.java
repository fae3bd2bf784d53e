package org.quetzalseam.wire.message;

import java.util.List;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * Carries consecutive outputs of an attempt, in order.
 *
 * @param attempt the attempt
 * @param first index of the first output in this message
 * @param texts the outputs
 * @param load the endpoint's load
 */
public record Outputs(AttemptId attempt, int first, List<String> texts, Load load) implements AttemptReply {}
