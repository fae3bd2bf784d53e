package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.attempt.Outcome;

/**
 * The result of a request. Immutable.
 *
 * @param outcome whether it was answered, and otherwise whether it may have run
 * @param code machine-readable reason, empty when it was answered
 * @param message human-readable reason
 * @param retrySafe whether the same request may safely be sent again
 * @param retryAfterMillis time after which a retry is sensible, in milliseconds; 0 for at once
 * @param finishReason the engine's reason for ending the answer
 * @param outputs number of outputs delivered
 */
public record RunResult(
        Outcome outcome,
        String code,
        String message,
        boolean retrySafe,
        long retryAfterMillis,
        String finishReason,
        int outputs) {
    static RunResult answered(String finishReason, int outputs) {
        return new RunResult(Outcome.ANSWERED, "", "", false, 0, finishReason, outputs);
    }

    static RunResult notRun(String code, String message, long retryAfterMillis) {
        return new RunResult(Outcome.NOT_RUN, code, message, true, retryAfterMillis, "", 0);
    }

    static RunResult ended(Outcome outcome, String code, String message, boolean retrySafe, int outputs) {
        return new RunResult(outcome, code, message, retrySafe, 0, "", outputs);
    }
}
