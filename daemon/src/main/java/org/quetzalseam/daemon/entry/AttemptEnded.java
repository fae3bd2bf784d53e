package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.attempt.Outcome;

/** Ends an attempt early, from wherever in it. Carries no stack trace, for it is no fault of the program. */
final class AttemptEnded extends RuntimeException {
    /** Whether another attempt may follow, and at whose cost. */
    enum Next {
        /** The result is final. */
        NONE,
        /** Another attempt may follow, within the owner's retry budget. */
        RETRY,
        /** Another attempt is to follow whatever the budget: the endpoint is leaving as planned. */
        RETRY_FREE
    }

    private final transient RunResult result;
    private final Next next;

    AttemptEnded(RunResult result, Next next) {
        super(result.code(), null, false, false);
        this.result = result;
        this.next = next;
    }

    static AttemptEnded terminal(Outcome outcome, String code, String message, boolean retrySafe, int outputs) {
        return new AttemptEnded(RunResult.ended(outcome, code, message, retrySafe, outputs), Next.NONE);
    }

    static AttemptEnded refused(String code, String message, long retryAfterMillis, Next next) {
        return new AttemptEnded(RunResult.notRun(code, message, retryAfterMillis), next);
    }

    RunResult result() {
        return result;
    }

    Next next() {
        return next;
    }
}
