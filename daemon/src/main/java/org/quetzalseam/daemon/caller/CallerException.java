package org.quetzalseam.daemon.caller;

import java.util.Optional;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.daemon.entry.RunResult;

/** Ends a request with an error response. Has no stack trace, because it does not report a fault of the program. */
final class CallerException extends RuntimeException {
    private final int status;
    private final String code;
    private final Outcome outcome;
    private final boolean retrySafe;
    private final long retryAfterMillis;

    private CallerException(
            int status, String code, String message, Outcome outcome, boolean retrySafe, long retryAfterMillis) {
        super(message, null, false, false);
        this.status = status;
        this.code = code;
        this.outcome = outcome;
        this.retrySafe = retrySafe;
        this.retryAfterMillis = retryAfterMillis;
    }

    /** Returns the error for an invalid request, which a retry cannot help. */
    static CallerException notRetryable(int status, String code, String message) {
        return new CallerException(status, code, message, Outcome.NOT_RUN, false, 0);
    }

    /** Returns the error for a request that may be retried after the given time. */
    static CallerException retryable(int status, String code, String message, long retryAfterMillis) {
        return new CallerException(status, code, message, Outcome.NOT_RUN, true, retryAfterMillis);
    }

    /** Returns the error for a run that ended without a complete answer. */
    static CallerException of(RunResult result) {
        return new CallerException(
                status(result),
                result.code(),
                result.message(),
                result.outcome(),
                result.retrySafe(),
                result.retryAfterMillis());
    }

    private static int status(RunResult result) {
        if (result.outcome() != Outcome.NOT_RUN) {
            return Statuses.BAD_GATEWAY;
        }
        return switch (result.code()) {
            case "queue-full" -> Statuses.TOO_MANY_REQUESTS;
            case "key-mismatch" -> Statuses.UNPROCESSABLE;
            default -> Statuses.UNAVAILABLE;
        };
    }

    /**
     * Returns the same error for a request with an idempotency key. This process cannot know whether an earlier request
     * with the key has run, so it does not report the outcome {@code not-run}.
     */
    CallerException forKeyedRequest() {
        return outcome == Outcome.NOT_RUN
                ? new CallerException(
                        status, code, String.valueOf(getMessage()), Outcome.UNKNOWN, retrySafe, retryAfterMillis)
                : this;
    }

    int status() {
        return status;
    }

    String code() {
        return code;
    }

    Outcome outcome() {
        return outcome;
    }

    boolean retrySafe() {
        return retrySafe;
    }

    /** Returns the value of the {@code Retry-After} header in seconds, rounded up, or nothing if the header is to be omitted. */
    Optional<Long> retryAfterSeconds() {
        long millisPerSecond = 1000;
        return retryAfterMillis <= 0
                ? Optional.empty()
                : Optional.of((retryAfterMillis + millisPerSecond - 1) / millisPerSecond);
    }
}
