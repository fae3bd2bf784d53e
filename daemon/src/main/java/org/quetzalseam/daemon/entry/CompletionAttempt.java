package org.quetzalseam.daemon.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.daemon.entry.AttemptEnded.Next;
import org.quetzalseam.daemon.entry.TraceLog.Trace;
import org.quetzalseam.daemon.settings.Settings.BookingOrder;
import org.quetzalseam.wire.message.Book;
import org.quetzalseam.wire.message.Booked;
import org.quetzalseam.wire.message.Decode;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.Finished;
import org.quetzalseam.wire.message.Outputs;
import org.quetzalseam.wire.message.Prefill;
import org.quetzalseam.wire.message.Prefilled;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;
import org.quetzalseam.wire.message.Resume;
import org.quetzalseam.wire.message.Work;

/**
 * One attempt at a completion: books decode memory, prefills the prompt, transfers the KV cache and delivers the
 * outputs. Used by one thread. {@link #run} returns a result or throws {@link AttemptEnded}.
 */
final class CompletionAttempt {
    private static final long PROBE_INTERVAL_MILLIS = 250;
    private static final long REPLY_MARGIN_MILLIS = 2_000;
    private static final long PREFILL_TIMEOUT_MILLIS = 60_000;
    private static final long OUTPUT_TIMEOUT_MILLIS = 60_000;
    private static final int ADMITTED_QUEUE_LENGTH = 10_000;
    /** Wait of a request that is already admitted, so that it is not refused because an earlier attempt failed. */
    private static final long ADMITTED_WAIT_MILLIS = 60_000;

    private static final int MAX_PREFILL_ATTEMPTS = 4;
    private static final long PROBE_RETRY_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EntryContext context;
    private final CompletionRequest request;
    private final AnswerSink sink;
    private final Trace trace;
    private final AttemptId id;
    private final Set<String> excluded;
    private final long requestStartedNanos;
    private final boolean probe;
    private final Inbox inbox = new Inbox();
    private @Nullable EndpointLink decoder;
    private @Nullable EndpointLink prefiller;
    private boolean admitted;
    private boolean prefilled;
    private int delivered;

    CompletionAttempt(
            EntryContext context,
            CompletionRequest request,
            AnswerSink sink,
            Trace trace,
            AttemptId id,
            Set<String> leftOut,
            long requestStartedNanos,
            boolean admitted) {
        this.context = context;
        this.request = request;
        this.sink = sink;
        this.trace = trace;
        this.id = id;
        this.excluded = leftOut;
        this.requestStartedNanos = requestStartedNanos;
        this.admitted = admitted;
        this.probe = context.quarantine().isSuspect(request::fingerprint);
    }

    /** Returns whether this attempt has been prefilled or has delivered outputs. */
    boolean hasRun() {
        return prefilled || delivered > 0;
    }

    RunResult run() {
        long waitMillis = probe ? context.quarantine().waitMillis(request.fingerprint()) : 0;
        if (waitMillis > 0) {
            throw quarantined(waitMillis);
        }
        try {
            return context.settings().policy().booking() == BookingOrder.BEFORE_PREFILL ? bookFirst() : prefillFirst();
        } finally {
            cancelOutstanding();
            if (prefilled) {
                context.metrics().prefilled(request.promptTokens(), delivered == 0);
            }
        }
    }

    private RunResult bookFirst() {
        EndpointLink link = book();
        admit();
        byte[] transfer = prefill();
        return decode(link, transfer);
    }

    private RunResult prefillFirst() {
        byte[] transfer = prefill();
        EndpointLink link = book();
        admit();
        return decode(link, transfer);
    }

    private void cancelOutstanding() {
        EndpointLink booked = decoder;
        if (booked != null) {
            booked.cancel(id);
        }
        EndpointLink prefilling = prefiller;
        if (prefilling != null) {
            prefilling.cancel(id);
        }
    }

    private Work work(long waitMillis, int queueLength) {
        return new Work(
                request.entry().owner(),
                request.entry().name(),
                request.entry().workClass(),
                request.weight(),
                request.promptTokens(),
                request.outputTokens(),
                waitMillis,
                queueLength,
                probe ? request.fingerprint() : "");
    }

    /** Returns the time that remains for the request to be admitted, in milliseconds. */
    private long remainingWaitMillis() {
        if (admitted) {
            return ADMITTED_WAIT_MILLIS;
        }
        long waitedMillis = (context.timers().now() - requestStartedNanos) / NANOS_PER_MILLI;
        long limitMillis = Math.min(request.entry().limits().queueWaitMillis(), request.deadlineMillis());
        return limitMillis - waitedMillis;
    }

    private int queueLength() {
        return admitted ? ADMITTED_QUEUE_LENGTH : request.entry().limits().queueLength();
    }

    /** Returns whether the sink has been notified that the request is admitted. */
    boolean wasAdmitted() {
        return admitted;
    }

    private EndpointLink book() {
        long waitMillis = remainingWaitMillis();
        if (waitMillis <= 0) {
            throw AttemptEnded.refused("wait-too-long", "no engine memory became free in time", 1_000, Next.NONE);
        }
        EndpointLink link = choose(request.model().decodePool(), excluded);
        long leadMillis = context.fleet().expectedPrefillMillis(request.model().prefillPool(), request.promptTokens());
        Book order = new Book(id, work(waitMillis, queueLength()), leadMillis);
        if (!link.begin(order, inbox, request.outputTokens())) {
            excluded.add(link.name());
            throw AttemptEnded.refused("endpoint-lost", "the endpoint was lost", 0, Next.RETRY_FREE);
        }
        decoder = link;
        trace.note("asked " + link.name() + " for decode memory");
        long deadlineNanos = context.timers().now() + (waitMillis + REPLY_MARGIN_MILLIS) * NANOS_PER_MILLI;
        while (true) {
            AttemptEvent event = await(deadlineNanos, "wait-too-long");
            if (event.link() == link && event.reply() instanceof Booked) {
                trace.note("booked at " + link.name());
                return link;
            }
            throwIfEnded(event, link);
        }
    }

    private EndpointLink choose(String pool, Set<String> excludedNames) {
        if (probe) {
            return context.fleet()
                    .probeEndpoint(pool, request.fingerprint())
                    .orElseThrow(() -> quarantined(PROBE_RETRY_MILLIS));
        }
        long maxWaitMillis =
                Math.min(context.settings().timing().lease().toMillis(), Math.max(0, remainingWaitMillis()));
        return context.fleet()
                .chooseWithin(maxWaitMillis, request.entry().workClass(), pool, request.affinity(), excludedNames)
                .orElseThrow(() -> AttemptEnded.refused(
                        "no-endpoint", "no endpoint of pool " + pool + " takes work", 1_000, Next.NONE));
    }

    private AttemptEnded quarantined(long retryAfterMillis) {
        RunResult result = context.quarantine()
                .refusal(
                        request.requestId().toString(),
                        request.fingerprint(),
                        hasRun() ? Outcome.INCOMPLETE : Outcome.NOT_RUN,
                        true,
                        retryAfterMillis);
        return new AttemptEnded(result, Next.NONE);
    }

    /** Ends an attempt whose request turns out to have crashed back ends, before it is sent to another one. */
    private void endIfSuspect() {
        if (!probe && context.quarantine().isSuspect(request::fingerprint)) {
            throw AttemptEnded.refused("suspected", "back ends have crashed meanwhile", 0, Next.RETRY_FREE);
        }
    }

    private void admit() {
        if (!admitted) {
            admitted = true;
            if (!sink.admitted()) {
                throw callerDisconnected();
            }
        }
    }

    private AttemptEnded callerDisconnected() {
        return AttemptEnded.terminal(Outcome.INCOMPLETE, "caller-gone", "the caller is gone", true, delivered);
    }

    /** Waits for the next event, and checks meanwhile whether the caller is still connected. */
    private AttemptEvent await(long deadlineNanos, String timeoutCode) {
        while (true) {
            long leftMillis = (deadlineNanos - context.timers().now()) / NANOS_PER_MILLI;
            if (leftMillis <= 0) {
                throw timeout(timeoutCode);
            }
            AttemptEvent event = inbox.poll(Math.min(PROBE_INTERVAL_MILLIS, leftMillis));
            if (event != null) {
                return event;
            }
            if (Thread.currentThread().isInterrupted() || (admitted && !sink.probe())) {
                throw callerDisconnected();
            }
        }
    }

    private AttemptEnded timeout(String code) {
        if (prefilled || delivered > 0) {
            return AttemptEnded.terminal(Outcome.INCOMPLETE, code, "the engine did not go on in time", true, delivered);
        }
        return AttemptEnded.refused(code, "no engine memory became free in time", 1_000, Next.NONE);
    }

    /** Throws if an event of the decode endpoint means that the attempt cannot continue. */
    private void throwIfEnded(AttemptEvent event, EndpointLink link) {
        if (event.link() != link) {
            return;
        }
        if (event.reply() instanceof Refused refused) {
            link.forget(id);
            throw refusal(link, refused);
        }
        if (event.reply() instanceof Failed failed) {
            link.forget(id);
            link.recordFailure();
            throw failure(failed.code().label(), failed.reason());
        }
        if (event.reply() instanceof AttemptEvent.Lost) {
            excluded.add(link.name());
            throw failure("endpoint-lost", "the endpoint was lost");
        }
    }

    private AttemptEnded refusal(EndpointLink link, Refused refused) {
        String message = "endpoint " + link.name() + " refused";
        String code = refused.reason().label();
        return switch (refused.reason()) {
            case QUEUE_FULL, WAIT_TOO_LONG ->
                AttemptEnded.refused(code, message, refused.retryAfterMillis(), Next.NONE);
            case QUARANTINED -> quarantined(refused.retryAfterMillis());
            case LEAVING, SEALED -> {
                excluded.add(link.name());
                yield AttemptEnded.refused(code, message, refused.retryAfterMillis(), Next.RETRY_FREE);
            }
            default -> {
                excluded.add(link.name());
                link.recordFailure();
                yield AttemptEnded.refused(code, message, refused.retryAfterMillis(), Next.RETRY);
            }
        };
    }

    private AttemptEnded failure(String code, String message) {
        if (delivered > 0) {
            return AttemptEnded.terminal(Outcome.INCOMPLETE, code, message, true, delivered);
        }
        return new AttemptEnded(RunResult.ended(Outcome.INCOMPLETE, code, message, true, 0), Next.RETRY);
    }

    private byte[] prefill() {
        endIfSuspect();
        Set<String> tried = new HashSet<>();
        for (int i = 0; i < MAX_PREFILL_ATTEMPTS; i++) {
            Optional<EndpointLink> choice = tried.isEmpty()
                    ? Optional.of(choose(request.model().prefillPool(), tried))
                    : context.fleet()
                            .choose(
                                    request.entry().workClass(),
                                    request.model().prefillPool(),
                                    request.affinity(),
                                    tried);
            if (choice.isEmpty()) {
                break;
            }
            EndpointLink link = choice.get();
            tried.add(link.name());
            Work work = work(PREFILL_TIMEOUT_MILLIS, ADMITTED_QUEUE_LENGTH);
            if (!link.begin(new Prefill(id, work, request.body()), inbox, request.promptTokens())) {
                continue;
            }
            prefiller = link;
            trace.note("sent to " + link.name() + " for prefill");
            Optional<byte[]> transfer = awaitPrefill(link);
            if (transfer.isPresent()) {
                return transfer.get();
            }
        }
        throw failure("prefill-failed", "no endpoint could prefill the prompt");
    }

    /** Waits for a prefill to end. Returns empty when another endpoint must be tried. */
    private Optional<byte[]> awaitPrefill(EndpointLink link) {
        long deadlineNanos = context.timers().now() + PREFILL_TIMEOUT_MILLIS * NANOS_PER_MILLI;
        while (true) {
            AttemptEvent event = await(deadlineNanos, "prefill-timeout");
            if (event.link() == link && event.reply() instanceof Prefilled done) {
                link.forget(id);
                link.recordSuccess();
                prefilled = true;
                trace.note("prefilled at " + link.name());
                return Optional.of(done.transfer());
            }
            if (event.link() == link) {
                link.forget(id);
                if (event.reply() instanceof Failed) {
                    link.recordFailure();
                }
                if (event.reply() instanceof Refused refused && refused.reason() == RefusalReason.QUARANTINED) {
                    throw quarantined(refused.retryAfterMillis());
                }
                trace.note("prefill ended at " + link.name() + ": "
                        + event.reply().getClass().getSimpleName());
                return Optional.empty();
            }
            EndpointLink booked = decoder;
            if (booked != null) {
                throwIfEnded(event, booked);
            }
        }
    }

    private RunResult decode(EndpointLink link, byte[] transfer) {
        endIfSuspect();
        Decode order = new Decode(id, transfer, request.body());
        if (!link.send(order)) {
            trace.note("the order to " + link.name() + " waits for its connection");
        }
        while (true) {
            long deadlineNanos = context.timers().now() + OUTPUT_TIMEOUT_MILLIS * NANOS_PER_MILLI;
            AttemptEvent event = await(deadlineNanos, "output-timeout");
            if (event.link() != link) {
                continue;
            }
            if (event.reply() instanceof Outputs outputs) {
                deliver(link, outputs);
            } else if (event.reply() instanceof Finished finished && finished.count() == delivered) {
                link.forget(id);
                link.recordSuccess();
                trace.note("finished after " + delivered + " outputs");
                return RunResult.answered(finished.reason(), delivered);
            } else if (event.reply() instanceof Finished) {
                link.send(new Resume(id, delivered));
            } else if (event.reply() instanceof Booked) {
                // Sent again after a lost connection, with which the decode order may have been lost.
                link.send(order);
            } else {
                throwIfEnded(event, link);
            }
        }
    }

    /** Delivers the outputs that are not delivered yet; requests missing ones again when there is a gap. */
    private void deliver(EndpointLink link, Outputs outputs) {
        if (outputs.first() > delivered) {
            link.send(new Resume(id, delivered));
            return;
        }
        for (int i = delivered - outputs.first(); i < outputs.texts().size(); i++) {
            if (!sink.output(outputs.texts().get(i))) {
                throw callerDisconnected();
            }
            delivered++;
            inbox.setNextOutput(delivered);
        }
    }
}
