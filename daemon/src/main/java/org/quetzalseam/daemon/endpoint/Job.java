package org.quetzalseam.daemon.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.quetzalseam.core.admission.QueuedAttempt;
import org.quetzalseam.core.attempt.AttemptId;
import org.quetzalseam.wire.message.AttemptMessage;
import org.quetzalseam.wire.message.AttemptReply;
import org.quetzalseam.wire.message.Load;
import org.quetzalseam.wire.message.Outputs;
import org.quetzalseam.wire.message.Refused;

/**
 * One attempt at one endpoint, with all that has been said of it, so that it can be said again after a lost connection.
 * Thread-safe.
 */
final class Job {
    private final QueuedAttempt ticket;
    private final AttemptMessage request;
    private final Sessions sessions;
    private final List<String> outputs = new ArrayList<>();
    private @Nullable AttemptReply last;
    private boolean settled;
    private Consumer<Refused> refusal = refused -> {};
    private volatile long bookedAt;
    private volatile boolean started;

    Job(QueuedAttempt ticket, AttemptMessage request, Sessions sessions) {
        this.ticket = ticket;
        this.request = request;
        this.sessions = sessions;
    }

    AttemptId id() {
        return ticket.id();
    }

    QueuedAttempt ticket() {
        return ticket;
    }

    AttemptMessage request() {
        return request;
    }

    /** Returns when the job was given its place, in nanoseconds of the monotonic clock. */
    long bookedAt() {
        return bookedAt;
    }

    void booked(long now) {
        bookedAt = now;
    }

    /** Returns whether the back end has been given the job. */
    boolean isStarted() {
        return started;
    }

    void started() {
        started = true;
    }

    /** Calls the listener if the job ends or has ended by being refused, that is, without having run. */
    void whenRefused(Consumer<Refused> listener) {
        Refused early = null;
        synchronized (this) {
            refusal = listener;
            if (last instanceof Refused refused) {
                early = refused;
            }
        }
        if (early != null) {
            listener.accept(early);
        }
    }

    synchronized boolean isSettled() {
        return settled;
    }

    /** Sends a reply that isn't the last one. */
    synchronized void reply(AttemptReply reply) {
        if (!settled) {
            last = reply;
            sessions.send(id().entry(), reply);
        }
    }

    /** Sends the last reply. Returns false, and sends nothing, when there has been one. */
    boolean settle(AttemptReply reply) {
        Consumer<Refused> listener;
        synchronized (this) {
            if (settled) {
                return false;
            }
            settled = true;
            last = reply;
            listener = refusal;
            sessions.send(id().entry(), reply);
        }
        if (reply instanceof Refused refused) {
            listener.accept(refused);
        }
        return true;
    }

    synchronized void output(String text, Load load) {
        if (!settled) {
            sessions.send(id().entry(), new Outputs(id(), outputs.size(), List.of(text), load));
            outputs.add(text);
        }
    }

    synchronized int outputCount() {
        return outputs.size();
    }

    /** Sends again what the entry may have missed: outputs from an index on, and the latest reply. */
    synchronized void replay(int next, Load load) {
        if (next < outputs.size()) {
            List<String> missed = List.copyOf(outputs.subList(Math.max(0, next), outputs.size()));
            sessions.send(id().entry(), new Outputs(id(), Math.max(0, next), missed, load));
        }
        AttemptReply reply = last;
        if (reply != null) {
            sessions.send(id().entry(), reply);
        }
    }
}
