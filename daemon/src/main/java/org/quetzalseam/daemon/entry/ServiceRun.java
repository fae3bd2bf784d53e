package org.quetzalseam.daemon.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.Outcome;
import org.quetzalseam.core.placement.Rendezvous;
import org.quetzalseam.daemon.entry.TraceLog.Trace;
import org.quetzalseam.wire.message.Answer;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;

/**
 * Runs one call of a plain service. Used by one thread.
 *
 * <p>An attempt that certainly has not run may be repeated at another endpoint; beyond that only idempotent calls are
 * repeated. A non-idempotent call with an idempotency key goes to the endpoint that holds the key, and to no other.
 */
final class ServiceRun {
    private static final int MAX_ATTEMPTS = 5;
    private static final long RETRY_MILLIS = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EntryContext context;
    private final ServiceRequest request;
    private final Trace trace;
    private final Set<String> excluded = new HashSet<>();
    private final ServiceAttempt attempts;
    private final long startedNanos;
    private boolean mayHaveRun;
    /** Time of the attempts that did not end with a refusal, which is not time in a queue. */
    private long lostNanos;

    ServiceRun(EntryContext context, ServiceRequest request, Trace trace) {
        this.context = context;
        this.request = request;
        this.trace = trace;
        this.attempts = new ServiceAttempt(context, request);
        this.startedNanos = context.timers().now();
    }

    ServiceResult run() {
        if (request.key().isPresent() && !request.entry().idempotent()) {
            return new KeyedRun(context, request, attempts, trace, request.key().get()).run();
        }
        AttemptId id = request.requestId().firstAttempt();
        while (true) {
            boolean suspect = context.quarantine().isSuspect(request::fingerprint);
            long waitMillis = suspect ? context.quarantine().waitMillis(request.fingerprint()) : 0;
            if (waitMillis > 0) {
                return quarantined(waitMillis);
            }
            Optional<EndpointLink> link = suspect ? probeEndpoint() : choose();
            if (link.isEmpty()) {
                return suspect ? quarantined(RETRY_MILLIS) : noEndpoint();
            }
            long sentNanos = context.timers().now();
            AttemptReply reply = attempts.call(link.get(), id, KeyUse.none(), remainingWaitMillis(), suspect);
            if (!(reply instanceof Refused)) {
                lostNanos += context.timers().now() - sentNanos;
            }
            trace.note("attempt " + id.number() + " at " + link.get().name() + ": "
                    + reply.getClass().getSimpleName());
            recordReply(link.get(), reply);
            mayHaveRun |= !(reply instanceof Refused);
            if (reply instanceof Answer answer) {
                context.quarantine().recordEnded(request::fingerprint);
                return new ServiceResult(RunResult.answered("", 1), Optional.of(answer));
            }
            if (reply instanceof Refused refused && refused.reason() == RefusalReason.QUARANTINED) {
                return quarantined(refused.retryAfterMillis());
            }
            if (id.number() >= MAX_ATTEMPTS || !mayRetry(reply)) {
                return finalResult(reply);
            }
            id = id.next();
        }
    }

    private Optional<EndpointLink> probeEndpoint() {
        return context.fleet().probeEndpoint(request.service().pool(), request.fingerprint());
    }

    /** Returns the result of a call that has crashed back ends and may not be probed now. */
    private ServiceResult quarantined(long retryAfterMillis) {
        RunResult result = context.quarantine()
                .refusal(
                        request.requestId().toString(),
                        request.fingerprint(),
                        mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN,
                        !mayHaveRun || request.entry().idempotent(),
                        Math.max(retryAfterMillis, RETRY_MILLIS));
        return new ServiceResult(result, Optional.empty());
    }

    private ServiceResult noEndpoint() {
        String message = "no endpoint of the service takes work";
        if (mayHaveRun) {
            return new ServiceResult(
                    RunResult.ended(Outcome.UNKNOWN, "no-endpoint", message, true, 0), Optional.empty());
        }
        return notRun("no-endpoint", message, RETRY_MILLIS);
    }

    /**
     * Returns the time that the next attempt may wait in a queue, within the caller's deadline. The loss of an endpoint
     * shows only after a lease, which may be longer than the whole wait. If it counted as such, every endpoint would
     * refuse the repetition, also an idle one.
     */
    private long remainingWaitMillis() {
        long elapsedNanos = context.timers().now() - startedNanos;
        long waitedMillis = (elapsedNanos - lostNanos) / NANOS_PER_MILLI;
        long leftMillis = Math.min(
                request.entry().limits().queueWaitMillis() - waitedMillis,
                request.deadlineMillis() - elapsedNanos / NANOS_PER_MILLI);
        return Math.max(0, leftMillis);
    }

    private Optional<EndpointLink> choose() {
        String pool = request.service().pool();
        long affinity = Rendezvous.hash(request.path());
        long maxWaitMillis = Math.min(context.settings().timing().lease().toMillis(), remainingWaitMillis());
        return context.fleet().chooseWithin(maxWaitMillis, request.entry().workClass(), pool, affinity, excluded);
    }

    private void recordReply(EndpointLink link, AttemptReply reply) {
        if (reply instanceof Answer) {
            link.recordSuccess();
            return;
        }
        excluded.add(link.name());
        boolean endpointFailed = reply instanceof Failed
                || (reply instanceof Refused refused && refused.reason() == RefusalReason.BACKEND_DOWN);
        if (endpointFailed) {
            link.recordFailure();
        }
    }

    private boolean mayRetry(AttemptReply reply) {
        if (reply instanceof Refused refused) {
            return switch (refused.reason()) {
                case LEAVING, SEALED -> true;
                case BACKEND_DOWN, WRONG_ENDPOINT ->
                    takeFromRetryBudget(refused.reason().label());
                default -> false;
            };
        }
        return request.entry().idempotent() && takeFromRetryBudget("no-answer");
    }

    private boolean takeFromRetryBudget(String reason) {
        if (!context.retries().tryRetry(request.entry().owner())) {
            return false;
        }
        context.metrics().retry(reason);
        return true;
    }

    /** Returns the result of the call after the last attempt. */
    private ServiceResult finalResult(AttemptReply reply) {
        if (reply instanceof Refused refused && !mayHaveRun) {
            long retryMillis = Math.max(refused.retryAfterMillis(), RETRY_MILLIS);
            return notRun(refused.reason().label(), "the call was refused before it ran", retryMillis);
        }
        boolean safe = request.entry().idempotent();
        String code = reply instanceof Failed failed ? failed.code().label() : "answer-lost";
        RunResult result =
                RunResult.ended(Outcome.UNKNOWN, code, "the call may have run; its answer was lost", safe, 0);
        return new ServiceResult(result, Optional.empty());
    }

    static ServiceResult notRun(String code, String message, long retryAfterMillis) {
        return new ServiceResult(RunResult.notRun(code, message, retryAfterMillis), Optional.empty());
    }
}
