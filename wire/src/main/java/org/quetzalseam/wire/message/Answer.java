package org.quetzalseam.wire.message;

import java.util.Map;
import org.quetzalseam.core.attempt.AttemptId;

/**
 * The complete answer to a service call.
 *
 * @param attempt the attempt
 * @param status HTTP status code
 * @param headers headers to forward to the caller
 * @param body response body
 * @param load the endpoint's load when it sent the answer
 */
public record Answer(AttemptId attempt, int status, Map<String, String> headers, byte[] body, Load load)
        implements AttemptReply {}
