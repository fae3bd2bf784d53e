package org.quetzalseam.wire.message;

import org.quetzalseam.core.attempt.AttemptId;

/**
 * Reports that the attempt has not run and never will at this endpoint.
 *
 * @param attempt the attempt
 * @param reason why the endpoint refused it
 * @param retryAfterMillis time after which a retry may succeed, in milliseconds
 * @param load the endpoint's load
 */
public record Refused(AttemptId attempt, RefusalReason reason, long retryAfterMillis, Load load)
        implements AttemptReply {}
