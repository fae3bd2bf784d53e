package org.quetzalseam.daemon.entry;

import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.core.attempt.SealResult;
import org.quetzalseam.wire.message.Answer;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.FailureCode;
import org.quetzalseam.wire.message.KeyUse;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.RefusalReason;
import org.quetzalseam.wire.message.Refused;
import org.quetzalseam.wire.message.Seal;
import org.quetzalseam.wire.message.SealAnswer;
import org.quetzalseam.wire.message.Work;

/** Makes single attempts at a service call and determines their results. Used by one thread. */
final class ServiceAttempt {
    private static final long REPLY_MARGIN_MILLIS = 1_000;
    private static final long SEAL_TIMEOUT_MILLIS = 1_000;
    private static final long RECALL_CHECK_MILLIS = 250;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final EntryContext context;
    private final ServiceRequest request;

    ServiceAttempt(EntryContext context, ServiceRequest request) {
        this.context = context;
        this.request = request;
    }

    /**
     * Makes an attempt.
     *
     * @param link the endpoint
     * @param id the attempt
     * @param key the use of an idempotency key
     * @param waitMillis maximum wait in the endpoint's queue, in milliseconds
     * @param probe whether the call has crashed back ends; any other call is recalled from the endpoint's queue if it turns
     *     out to have done so meanwhile
     * @return {@link Answer}, {@link Refused} when the call certainly has not run, {@link Failed} when it may have run,
     *     or {@link AttemptEvent.Lost} when the endpoint is lost and it is unknown whether the call has run
     */
    AttemptReply call(EndpointLink link, AttemptId id, KeyUse key, long waitMillis, boolean probe) {
        Inbox inbox = new Inbox();
        Work work = new Work(
                request.entry().owner(),
                request.entry().name(),
                request.entry().workClass(),
                request.weight(),
                0,
                0,
                waitMillis,
                request.entry().limits().queueLength(),
                probe ? request.fingerprint() : "");
        Call order = new Call(
                id,
                work,
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.deadlineMillis(),
                request.entry().idempotent(),
                key);
        if (!link.begin(order, inbox, 1)) {
            return new Refused(id, RefusalReason.SEALED, 0, Load.unknown());
        }
        try {
            return await(link, id, inbox, waitMillis + request.deadlineMillis() + REPLY_MARGIN_MILLIS, !probe);
        } finally {
            link.forget(id);
        }
    }

    private AttemptReply await(
            EndpointLink link, AttemptId id, Inbox inbox, long timeoutMillis, boolean recallSuspect) {
        long deadlineNanos = context.timers().now() + timeoutMillis * NANOS_PER_MILLI;
        boolean recalled = !recallSuspect;
        boolean sealing = false;
        while (true) {
            long leftMillis = Math.max(0, (deadlineNanos - context.timers().now()) / NANOS_PER_MILLI);
            AttemptEvent event = inbox.poll(Math.min(leftMillis, RECALL_CHECK_MILLIS));
            if (event != null && isFinal(event.reply())) {
                return event.reply();
            }
            if (event != null && event.reply() instanceof SealAnswer sealed) {
                if (sealing || sealed.result() == SealResult.BEFORE_START) {
                    return afterSeal(id, sealed);
                }
                // The call had started before it was recalled.
                continue;
            }
            if (!recalled && context.quarantine().isSuspect(request::fingerprint)) {
                recalled = true;
                link.send(new Seal(id));
                continue;
            }
            if (Thread.currentThread().isInterrupted() || (sealing && leftMillis == 0)) {
                return new Failed(id, FailureCode.BACKEND_TIMEOUT, "no answer in time", Load.unknown());
            }
            if (leftMillis == 0) {
                sealing = true;
                deadlineNanos = context.timers().now() + SEAL_TIMEOUT_MILLIS * NANOS_PER_MILLI;
                link.send(new Seal(id));
            }
        }
    }

    private static boolean isFinal(AttemptReply reply) {
        return reply instanceof Answer
                || reply instanceof Refused
                || reply instanceof Failed
                || reply instanceof AttemptEvent.Lost;
    }

    private static AttemptReply afterSeal(AttemptId id, SealAnswer sealed) {
        return sealed.result() == SealResult.BEFORE_START
                ? new Refused(id, RefusalReason.SEALED, 0, sealed.load())
                : new Failed(id, FailureCode.BACKEND_TIMEOUT, "no answer in time", sealed.load());
    }
}
