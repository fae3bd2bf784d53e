package org.quetzalseam.daemon.entry;

import java.util.Optional;
import org.quetzalseam.wire.message.Answer;

/**
 * The result of a call of a plain service. Immutable.
 *
 * @param result the result without the service's answer
 * @param answer the service's answer, if there was one
 */
public record ServiceResult(RunResult result, Optional<Answer> answer) {}
