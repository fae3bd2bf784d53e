package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.attempt.Outcome;

/** Ends an attempt before its answer is complete. Carries no stack trace, since it is not a program error. */
final class AttemptEnded extends RuntimeException {
    /** Whether another attempt may follow, and whether it counts against the owner's retry budget. */
    enum Next {
        /** The result is final. */
        NONE,
        /** Another attempt may follow, within the owner's retry budget. */
        RETRY,
        /**
         * Another attempt may follow without using the budget: the endpoint shuts down or was lost before any work
         * began.
         */
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
