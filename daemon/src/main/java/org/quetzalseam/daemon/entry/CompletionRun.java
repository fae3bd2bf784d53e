package org.quetzalseam.daemon.entry;

import java.util.HashSet;
import java.util.Set;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.daemon.entry.AttemptEnded.Next;
import org.quetzalseam.daemon.entry.TraceLog.Trace;

/**
 * Runs one completion request, with as many attempts as are needed and allowed. Used by one thread.
 *
 * <p>A completion may be generated again as long as no output has been delivered; afterwards it is resumed at the next
 * output, or reported as incomplete.
 */
final class CompletionRun {
    private static final int MAX_ATTEMPTS = 5;

    private final EntryContext context;
    private final CompletionRequest request;
    private final AnswerSink sink;
    private final Trace trace;
    private final Set<String> excluded = new HashSet<>();

    CompletionRun(EntryContext context, CompletionRequest request, AnswerSink sink, Trace trace) {
        this.context = context;
        this.request = request;
        this.sink = sink;
        this.trace = trace;
    }

    RunResult run() {
        long startedNanos = context.timers().now();
        AttemptId id = request.requestId().firstAttempt();
        boolean ran = false;
        boolean admitted = false;
        while (true) {
            CompletionAttempt attempt =
                    new CompletionAttempt(context, request, sink, trace, id, excluded, startedNanos, admitted);
            try {
                RunResult answered = attempt.run();
                context.quarantine().recordEnded(request::fingerprint);
                return answered;
            } catch (AttemptEnded ended) {
                ran |= attempt.hasRun();
                admitted |= attempt.wasAdmitted();
                trace.note(
                        "attempt " + id.number() + " ended: " + ended.result().code());
                if (!mayRetry(ended, id)) {
                    return finalResult(ended.result(), ran);
                }
            }
            id = id.next();
        }
    }

    private boolean mayRetry(AttemptEnded ended, AttemptId id) {
        if (ended.next() == Next.NONE || id.number() >= MAX_ATTEMPTS) {
            return false;
        }
        boolean allowed = ended.next() == Next.RETRY_FREE
                || context.retries().tryRetry(request.entry().owner());
        if (allowed) {
            context.metrics().retry(ended.result().code());
        }
        return allowed;
    }

    /** Returns the final result: a request counts as not run only if none of its attempts has run. */
    private static RunResult finalResult(RunResult last, boolean ran) {
        if (last.outcome() != Outcome.NOT_RUN || !ran) {
            return last;
        }
        return new RunResult(Outcome.INCOMPLETE, last.code(), last.message(), true, last.retryAfterMillis(), "", 0);
    }
}
