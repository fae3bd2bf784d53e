package org.quetzalseam.daemon.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.admission.QueuedAttempt;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.message.Answer;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Call;
import org.quetzalseam.wire.message.Failed;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.Outputs;
import org.quetzalseam.wire.message.Refused;

/**
 * One attempt at this endpoint, with its outputs and its last reply, so that they can be sent again after a lost
 * connection. Thread-safe.
 */
final class Job {
    private final QueuedAttempt queuedAttempt;
    private AttemptMessage request;
    private final Sessions sessions;
    private final List<String> outputs = new ArrayList<>();
    private @Nullable AttemptReply lastReply;
    private boolean complete;
    private Consumer<Refused> refusalListener = refused -> {};
    private volatile long bookedAtNanos;
    private volatile boolean started;

    Job(QueuedAttempt queuedAttempt, AttemptMessage request, Sessions sessions) {
        this.queuedAttempt = queuedAttempt;
        this.request = request;
        this.sessions = sessions;
    }

    AttemptId id() {
        return queuedAttempt.id();
    }

    QueuedAttempt queuedAttempt() {
        return queuedAttempt;
    }

    /** Returns the request; of a call that has ended, without its body. */
    synchronized AttemptMessage request() {
        return request;
    }

    /** Returns when a slot was booked for the job, in nanoseconds of the monotonic clock; 0 if none has been. */
    long bookedAtNanos() {
        return bookedAtNanos;
    }

    void setBookedAt(long now) {
        bookedAtNanos = now;
    }

    /** Returns whether the job has been started on the back end. */
    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    /** Calls the listener if the job is or has been refused, that is, has ended without having run. */
    void whenRefused(Consumer<Refused> listener) {
        Refused alreadyRefused = null;
        synchronized (this) {
            refusalListener = listener;
            if (lastReply instanceof Refused refused) {
                alreadyRefused = refused;
            }
        }
        if (alreadyRefused != null) {
            listener.accept(alreadyRefused);
        }
    }

    synchronized boolean isComplete() {
        return complete;
    }

    /** Sends a reply that is not the final one, unless the final one has been sent. */
    synchronized void sendInterim(AttemptReply reply) {
        if (!complete) {
            lastReply = reply;
            sessions.send(id().entry(), reply);
        }
    }

    /** Sends the final reply. Returns false, and sends nothing, when one has been sent before. */
    boolean complete(AttemptReply reply) {
        Consumer<Refused> listener;
        synchronized (this) {
            if (complete) {
                return false;
            }
            complete = true;
            lastReply = reply;
            request = withoutBody(request);
            listener = refusalListener;
            sessions.send(id().entry(), reply);
        }
        if (reply instanceof Refused refused) {
            listener.accept(refused);
        }
        return true;
    }

    private static AttemptMessage withoutBody(AttemptMessage request) {
        return request instanceof Call call
                ? new Call(
                        call.attempt(),
                        call.work(),
                        call.method(),
                        call.path(),
                        Map.of(),
                        new byte[0],
                        call.timeoutMillis(),
                        call.idempotent(),
                        call.key())
                : request;
    }

    /** Replaces the answer that is kept for repetition, to save its memory. */
    synchronized void forgetAnswer(Failed lost) {
        if (lastReply instanceof Answer) {
            lastReply = lost;
        }
    }

    synchronized void sendOutput(String text, Load load) {
        if (!complete) {
            sessions.send(id().entry(), new Outputs(id(), outputs.size(), List.of(text), load));
            outputs.add(text);
        }
    }

    synchronized int outputCount() {
        return outputs.size();
    }

    /** Sends again what the entry may have missed: the outputs from index {@code next} on, and the last reply. */
    synchronized void replay(int next, Load load) {
        if (next < outputs.size()) {
            List<String> missed = List.copyOf(outputs.subList(Math.max(0, next), outputs.size()));
            sessions.send(id().entry(), new Outputs(id(), Math.max(0, next), missed, load));
        }
        AttemptReply reply = lastReply;
        if (reply != null) {
            sessions.send(id().entry(), reply);
        }
    }
}
